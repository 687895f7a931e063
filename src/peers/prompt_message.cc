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
constexpr std::int64_t kMaxEvents = 1'000'000;

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

// By part, pairs of an extent and the time since a run reached it.
Json WriteSoundRuns(const PromptEvidence& evidence) {
  Json parts = Json::object();
  for (const auto& [part, runs] : evidence.sound_age_ms) {
    Json& list = parts[part] = Json::array();
    for (const auto& [extent, age_ms] : runs) {
      list.push_back(Json::array({extent.grade, age_ms}));
    }
  }
  return parts;
}

// The shortest of the times of each part, which is all that earlier versions
// understand: a run of unknown extent.
std::map<PromptPart, std::int64_t> LatestRuns(const PromptEvidence& evidence) {
  std::map<PromptPart, std::int64_t> latest;
  for (const auto& [part, runs] : evidence.sound_age_ms) {
    for (const auto& [extent, age_ms] : runs) {
      std::int64_t& shortest = latest.try_emplace(part, age_ms).first->second;
      shortest = std::min(shortest, age_ms);
    }
  }
  return latest;
}

void ReadSoundRuns(const Json& json, PromptEvidence* evidence) {
  for (const auto& entry : Bounded(json, kMaxParts).items()) {
    std::map<AnswerExtent, std::int64_t>& runs =
        evidence->sound_age_ms[ReadName(entry.key())];
    runs.clear();
    for (const Json& run : Bounded(entry.value(), kExtentGrades)) {
      const auto grade = run.at(0).get<std::int64_t>();
      if (grade < 0 || grade >= kExtentGrades) {
        throw Json::out_of_range::create(401, "unknown extent", nullptr);
      }
      runs[AnswerExtent{static_cast<int>(grade)}] =
          std::clamp<std::int64_t>(run.at(1).get<std::int64_t>(), 0, kMaxAgeMs);
    }
  }
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
  if (json.size() > 6) {  // Earlier versions do not name it.
    aged.crash.events = static_cast<int>(std::clamp<std::int64_t>(
        json.at(6).get<std::int64_t>(), 0, kMaxEvents));
  }
  return aged;
}

}  // namespace

std::string EncodePromptEvidence(const PromptEvidence& evidence) {
  Json crashes = Json::array();
  for (const AgedPromptCrash& aged : evidence.crashes) {
    crashes.push_back(
        Json::array({aged.crash.id, aged.crash.server, aged.crash.started_ms,
                     aged.crash.was_trial, aged.crash.parts, aged.age_ms,
                     aged.crash.events}));
  }
  return EncodeTaggedMessage(
      Json::array({kTag, evidence.node, evidence.is_reply, std::move(crashes),
                   LatestRuns(evidence), evidence.refusal_age_ms,
                   evidence.trial_left_ms, WriteSoundRuns(evidence)}));
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
    for (const auto& [part, age_ms] : ReadTimes(json->at(4), kMaxAgeMs)) {
      evidence.sound_age_ms[part] = {{AnswerExtent{}, age_ms}};
    }
    evidence.refusal_age_ms = ReadTimes(json->at(5), kMaxAgeMs);
    evidence.trial_left_ms = ReadTimes(json->at(6), kMaxTrialMs);
    if (json->size() > 7) {
      ReadSoundRuns(json->at(7), &evidence);
    }
    return evidence;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("prompt evidence: ") + error.what());
  }
}

}  // namespace kumquatcart
