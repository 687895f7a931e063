#include "peers/prompt_message.h"

#include <algorithm>

#include "peers/tagged_message.h"

namespace kumquatcart {

namespace {

constexpr char kTag[] = "prompt-evidence";
// Bounds on what a peer may send.
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxParts = 1024;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::int64_t kMaxAgeMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxTrialMs = 10'000;

// The functions below throw Json::exception on wrong types and sizes.

const Json& Bounded(const Json& json, std::size_t max_size) {
  if (!json.is_structured() || json.size() > max_size) {
    throw Json::out_of_range::create(401, "too many elements", nullptr);
  }
  return json;
}

std::string ReadName(const Json& json) {
  auto name = json.get<std::string>();
  if (name.size() > kMaxNameBytes) {
    throw Json::out_of_range::create(401, "name too long", nullptr);
  }
  return name;
}

std::map<PromptPart, std::int64_t> ReadTimes(const Json& json,
                                             std::int64_t max_ms) {
  std::map<PromptPart, std::int64_t> times;
  for (const auto& entry : Bounded(json, kMaxParts).items()) {
    times[ReadName(entry.key())] =
        std::clamp<std::int64_t>(entry.value().get<std::int64_t>(), 0, max_ms);
  }
  return times;
}

AgedPromptCrash ReadCrash(const Json& json) {
  AgedPromptCrash aged;
  aged.crash.id = json.at(0).get<std::uint64_t>();
  aged.crash.server = ReadName(json.at(1));
  aged.crash.started_ms = json.at(2).get<std::int64_t>();
  aged.crash.was_trial = json.at(3).get<bool>();
  for (const Json& part : Bounded(json.at(4), kMaxParts)) {
    aged.crash.parts.push_back(ReadName(part));
  }
  std::sort(aged.crash.parts.begin(), aged.crash.parts.end());
  aged.age_ms =
      std::clamp<std::int64_t>(json.at(5).get<std::int64_t>(), 0, kMaxAgeMs);
  return aged;
}

}  // namespace

std::string EncodePromptEvidence(const PromptEvidence& evidence) {
  Json crashes = Json::array();
  for (const AgedPromptCrash& aged : evidence.crashes) {
    crashes.push_back(
        Json::array({aged.crash.id, aged.crash.server, aged.crash.started_ms,
                     aged.crash.was_trial, aged.crash.parts, aged.age_ms}));
  }
  return EncodeTaggedMessage(
      Json::array({kTag, evidence.node, evidence.is_reply, std::move(crashes),
                   evidence.sound_age_ms, evidence.refusal_age_ms,
                   evidence.trial_left_ms}));
}

std::optional<Result<PromptEvidence>> DecodePromptEvidence(
    const std::string& bytes) {
  const std::optional<Json> json = DecodeTaggedMessage(bytes);
  if (!json || TagOf(*json) != kTag) {
    return std::nullopt;
  }
  try {
    PromptEvidence evidence;
    evidence.node = ReadName(json->at(1));
    evidence.is_reply = json->at(2).get<bool>();
    for (const Json& crash : Bounded(json->at(3), kMaxCrashes)) {
      evidence.crashes.push_back(ReadCrash(crash));
    }
    evidence.sound_age_ms = ReadTimes(json->at(4), kMaxAgeMs);
    evidence.refusal_age_ms = ReadTimes(json->at(5), kMaxAgeMs);
    evidence.trial_left_ms = ReadTimes(json->at(6), kMaxTrialMs);
    return evidence;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("prompt evidence: ") + error.what());
  }
}

}  // namespace kumquatcart
