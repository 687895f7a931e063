#include "peers/record_exchange.h"

#include <charconv>
#include <string_view>

#include <fmt/format.h>

#include "base/json.h"

namespace kumquatcart {

namespace {

constexpr std::string_view kPath = "/peer/records/";
// In place of an era.
constexpr std::string_view kRetained = "retained";

// Removes a non-negative number and an optional slash after it from the front
// of `text`.
std::optional<std::int64_t> ConsumeNumber(std::string_view* text) {
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(text->data(), text->data() + text->size(), number);
  if (parsed.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  text->remove_prefix(static_cast<std::size_t>(parsed.ptr - text->data()));
  if (!text->empty() && text->front() == '/') {
    text->remove_prefix(1);
  }
  return number;
}

// Positions in an encoded batch.
constexpr std::size_t kEraIndex = 3;
constexpr std::size_t kRetainedIndex = 4;

std::string ToText(const Json::binary_t& bytes) {
  return {bytes.begin(), bytes.end()};
}

}  // namespace

std::string EncodeRecordQuery(const RecordQuery& query) {
  return fmt::format(
      "{}{}/{}/{}", kPath, static_cast<int>(query.topic), query.from.offset,
      query.from == kRetainedOnly ? std::string(kRetained)
                                  : std::to_string(query.from.era));
}

std::optional<RecordQuery> DecodeRecordQuery(const std::string& target) {
  std::string_view rest = target;
  if (rest.substr(0, kPath.size()) != kPath) {
    return std::nullopt;
  }
  rest.remove_prefix(kPath.size());
  const std::optional<std::int64_t> topic = ConsumeNumber(&rest);
  const std::optional<std::int64_t> from = ConsumeNumber(&rest);
  // A node of an earlier version states no era.
  std::optional<StoreEra> era = 0;
  if (rest == kRetained) {
    era = kRetainedOnly.era;
    rest = {};
  } else if (!rest.empty()) {
    era = ConsumeNumber(&rest);
  }
  if (!topic || !from || !era || *topic >= kStoreTopicCount || !rest.empty()) {
    return std::nullopt;
  }
  return RecordQuery{static_cast<StoreTopic>(*topic), {*era, *from}};
}

std::string EncodeTopicBatch(const TopicBatch& batch) {
  Json records = Json::array();
  for (const TopicRecord& record : batch.records) {
    records.push_back(Json::array(
        {Json::binary({record.key.begin(), record.key.end()}),
         record.value
             ? Json::binary({record.value->begin(), record.value->end()})
             : Json(nullptr),
         record.offset}));
  }
  Json other_keys;
  if (batch.other_keys) {
    other_keys = Json::array();
    for (const std::string& key : *batch.other_keys) {
      other_keys.push_back(Json::binary({key.begin(), key.end()}));
    }
  }
  Json retained = Json::array();
  for (const RetainedRecord& record : batch.retained) {
    retained.push_back(
        Json::array({Json::binary({record.key.begin(), record.key.end()}),
                     Json::binary({record.value.begin(), record.value.end()}),
                     record.is_removed}));
  }
  const std::vector<std::uint8_t> bytes = Json::to_cbor(
      Json::array({batch.end, std::move(records), std::move(other_keys),
                   batch.era, std::move(retained)}));
  return std::string(bytes.begin(), bytes.end());
}

Result<TopicBatch> DecodeTopicBatch(const std::string& bytes) {
  BOOST_OUTCOME_TRY(json, ParseCbor(bytes));
  try {
    TopicBatch batch;
    batch.end = json.at(0).get<std::int64_t>();
    for (const Json& row : json.at(1)) {
      const auto& key = row.at(0).get_binary();
      TopicRecord record;
      record.key = std::string(key.begin(), key.end());
      if (!row.at(1).is_null()) {
        const auto& value = row.at(1).get_binary();
        record.value = std::string(value.begin(), value.end());
      }
      record.offset = row.at(2).get<std::int64_t>();
      batch.records.push_back(std::move(record));
    }
    // A batch of an earlier version of this program has no such part and may
    // lack removals, so it is malformed.
    const Json& other_keys = json.at(2);
    if (!other_keys.is_null()) {
      batch.other_keys.emplace();
      for (const Json& item : other_keys) {
        const auto& key = item.get_binary();
        batch.other_keys->emplace_back(key.begin(), key.end());
      }
    }
    if (json.size() <= kEraIndex) {
      return batch;  // Of a node of an earlier version.
    }
    batch.era = json.at(kEraIndex).get<StoreEra>();
    for (const Json& row : json.at(kRetainedIndex)) {
      batch.retained.push_back({ToText(row.at(0).get_binary()),
                                ToText(row.at(1).get_binary()),
                                row.at(2).get<bool>()});
    }
    if (batch.era < 0 || batch.end < 0) {
      return MakeError(ErrorCode::kInvalidArgument, "records: negative place");
    }
    return batch;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("records: ") + error.what());
  }
}

}  // namespace kumquatcart
