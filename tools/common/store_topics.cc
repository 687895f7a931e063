#include "common/store_topics.h"

#include <algorithm>

#include "base/json.h"
#include "net/http_status.h"

namespace kumquatcart::tools {

namespace {

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(number >> (8 * i)));
  }
  return text;
}

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t at = i; at < i + 3; ++at) {
      group = (group << 8) |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(
          i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=');
    }
  }
  return text;
}

// The value of one field of the query; none where it is not there.
std::optional<std::string> QueryField(const std::string& target,
                                      const std::string& name) {
  const std::size_t mark = target.find('?');
  std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
  while (at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    if (target.compare(at, name.size() + 1, name + "=") == 0) {
      return target.substr(at + name.size() + 1, end - at - name.size() - 1);
    }
    at = end + 1;
  }
  return std::nullopt;
}

StoreCall::Kind KindOf(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/api/log-append") {
    return StoreCall::Kind::kAppend;
  }
  if (path == "/api/log-read") {
    return StoreCall::Kind::kRead;
  }
  return path == "/api/log-newest" ? StoreCall::Kind::kNewest
                                   : StoreCall::Kind::kUnknown;
}

}  // namespace

StoreCall DecodeStoreCall(const ReadRequest& request) {
  StoreCall call;
  call.kind = KindOf(request.target);
  call.topic = QueryField(request.target, "topic").value_or("");
  if (const auto at = QueryField(request.target, "at")) {
    call.at = std::stoll(*at);
  }
  call.from = std::stoul(QueryField(request.target, "from").value_or("0"));
  call.wait = std::chrono::milliseconds(
      std::stoll(QueryField(request.target, "wait_ms").value_or("0")));
  call.body = request.body;
  return call;
}

void StoreTopics::Put(const std::string& topic,
                      const std::string& key,
                      const std::optional<std::string>& value) {
  this->topics[topic].records.push_back(Record{key, value});
}

void StoreTopics::Expire(const std::string& topic) {
  this->topics[topic].first = this->topics[topic].records.size();
}

TextAnswer StoreTopics::Answer(const StoreCall& call) {
  switch (call.kind) {
    case StoreCall::Kind::kAppend:
      return this->Append(call);
    case StoreCall::Kind::kRead:
      return this->Read(call);
    case StoreCall::Kind::kNewest:
      return this->Newest(call);
    default:
      return {kHttpNotFound, ""};
  }
}

TextAnswer StoreTopics::Append(const StoreCall& call) {
  std::vector<Record>& records = this->topics[call.topic].records;
  if (call.at && *call.at != static_cast<std::int64_t>(records.size())) {
    return {kHttpPreconditionFailed, Json{{"end", records.size()}}.dump()};
  }
  constexpr std::size_t kHead = 5;  // Four bytes of length, one of the key's.
  if (call.body.size() < kHead) {
    return {kHttpBadRequest, ""};
  }
  const std::size_t key_size = static_cast<unsigned char>(call.body[kHead - 1]);
  Record record{call.body.substr(kHead, key_size), std::nullopt};
  if (call.body.size() > kHead + key_size) {
    record.value = call.body.substr(kHead + key_size);
  }
  records.push_back(std::move(record));
  return {kHttpOk,
          Json{{"offset", records.size() - 1}, {"end", records.size()}}.dump()};
}

TextAnswer StoreTopics::Read(const StoreCall& call) {
  const Topic& topic = this->topics[call.topic];
  if (call.from < topic.first) {
    return {kHttpGone, Json{{"first", topic.first}}.dump()};
  }
  std::string body =
      BigEndian(topic.records.size(), 8) + BigEndian(topic.first, 8);
  for (std::size_t i = call.from; i < topic.records.size(); ++i) {
    const Record& record = topic.records[i];
    const std::string content = BigEndian(record.key.size(), 1) + record.key +
                                record.value.value_or(std::string());
    body += BigEndian(content.size(), 4) + content;
  }
  return {kHttpOk, body};
}

TextAnswer StoreTopics::Newest(const StoreCall& call) {
  std::map<std::string, Json> items;
  const std::vector<Record>& records = this->topics[call.topic].records;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (records[i].value) {
      items[records[i].key] = Json{{"key", records[i].key},
                                   {"value", EncodeBase64(*records[i].value)},
                                   {"offset", i}};
    } else {
      items.erase(records[i].key);
    }
  }
  Json list = Json::array();
  for (auto& item : items) {
    list.push_back(std::move(item.second));
  }
  return {kHttpOk,
          Json{{"items", list}, {"has_more", false}, {"end", records.size()}}
              .dump()};
}

}  // namespace kumquatcart::tools
