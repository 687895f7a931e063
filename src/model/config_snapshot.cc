#include "model/config_snapshot.h"

#include <utility>

#include <fmt/format.h>

#include "model/change_set.h"
#include "model/config_access.h"
#include "model/config_constants.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxSnapshotBytes = 64 << 20;
constexpr char kPlaceField[] = "place";

std::string DigestOf(const Json& content) {
  return Sha256Hex(
      content.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Json EncodeContent(const ConfigView& view) {
  Json objects = Json::array();
  for (const ConfigObject& object : ListObjects(view)) {
    objects.push_back({{"kind", ToString(object.kind)},
                       {"name", object.meta.name},
                       {"owner", object.meta.owner},
                       {"revision", object.meta.revision},
                       {"spec", object.spec}});
  }
  Json content = {{"format", kConfigFormatVersion},
                  {"offset", view.offset},
                  {"objects", std::move(objects)}};
  const LogPlace place = view.CurrentPlace();
  if (place.IsKnown()) {
    content[kPlaceField] = place;
  }
  return content;
}

// Reads the place of a snapshot, which earlier versions leave out.
Status ReadPlace(const Json& content, ConfigView* view) {
  if (!content.contains(kPlaceField)) {
    return Ok();
  }
  BOOST_OUTCOME_TRY(place, FromJson<LogPlace>(content[kPlaceField]));
  if (place.offset != view->offset || !place.IsKnown()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "snapshot has a place of another record");
  }
  view->place = std::move(place);
  return Ok();
}

// Adds one object of a snapshot to `view`.
Status AddObject(const Json& json, ConfigView* view) {
  ObjectChange change;
  RuleViolations violations;
  if (!DecodeObjectChange(json, ChangeOperation::kPut, "snapshot object",
                          &change, &violations)) {
    return MakeError(ErrorCode::kInvalidArgument, ToString(violations));
  }
  if (FindObject(*view, change.name).has_value()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "snapshot names an object twice: " + change.name.value);
  }
  return PutObject({change.kind,
                    {change.name, change.owner, change.expected_revision},
                    change.spec},
                   view);
}

}  // namespace

Json EncodeSnapshot(const ConfigView& view) {
  Json content = EncodeContent(view);
  std::string digest = DigestOf(content);
  return {{"content", std::move(content)}, {"sha256", std::move(digest)}};
}

Result<ConfigView> DecodeSnapshot(const Json& json) {
  if (!json.is_object() || !json.contains("content") ||
      !json.contains("sha256")) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "snapshot lacks its content or digest");
  }
  const Json& content = json["content"];
  if (json["sha256"] != DigestOf(content)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "snapshot does not match its digest");
  }
  if (!content.is_object() ||
      content.value("format", Json()) != Json(kConfigFormatVersion) ||
      !content.value("offset", Json()).is_number_integer() ||
      !content.value("objects", Json()).is_array()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "snapshot lacks format, offset or objects");
  }
  ConfigView view;
  view.offset = content["offset"].get<Offset>();
  if (view.offset <= kNoOffset) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "snapshot has no positive offset");
  }
  BOOST_OUTCOME_TRYV(ReadPlace(content, &view));
  for (const Json& object : content["objects"]) {
    BOOST_OUTCOME_TRYV(AddObject(object, &view));
  }
  return view;
}

Result<ConfigView> DecodeSnapshotText(const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseBoundedJson(text, kMaxSnapshotBytes));
  return DecodeSnapshot(json);
}

}  // namespace kumquatcart
