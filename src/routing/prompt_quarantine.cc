#include "routing/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace kumquatcart {

namespace {

// Servers that must have ended for a part to be suspected: under one without
// any run, under one without a whole answer, and under one that had whole
// answers. Requests that were well under way at a server that fails have parts
// of the second kind, and parts that many requests share are in progress at
// most servers that fail for another reason.
constexpr std::size_t kCrashesOfUnknownPart = 1;
constexpr std::size_t kCrashesOfBegunPart = 2;
constexpr std::size_t kCrashesOfSoundPart = 5;
// Trials that must have ended a server. One may meet a server that ends for
// another reason.
constexpr int kTrialsToQuarantine = 2;
// Time from the trial that quarantines a part to the next one; it doubles with
// each further trial.
constexpr Duration kFirstRetrialInterval = std::chrono::minutes(1);
constexpr int kMaxRetrialDoublings = 6;
// Evidence is dropped when no request with its parts has come for this time.
constexpr Duration kEvidenceLifetime = std::chrono::minutes(10);
// A crash that sound runs have made obsolete is kept for this time, so that
// these are sent to the peers that know the crash.
constexpr Duration kOutdatedKept = std::chrono::seconds(2);
constexpr std::size_t kMaxCrashes = 128;
// A received time is late by the time in transit. Smaller differences are
// ignored, or times that VMs send to and fro would move on and on.
constexpr Duration kMaxTransit = std::chrono::milliseconds(100);
// Crashes of one message, so that it fits a datagram. Half of them are the
// newest.
constexpr std::size_t kMaxExported = 16;

// Both are in ascending order.
bool Includes(const PromptParts& parts, const PromptParts& wanted) {
  return std::includes(parts.begin(), parts.end(), wanted.begin(),
                       wanted.end());
}

bool Contains(const PromptParts& parts, const PromptPart& part) {
  return std::binary_search(parts.begin(), parts.end(), part);
}

// A server between two starts. Crashes of servers whose start is unknown count
// each for itself, and are told apart by their ids.
using ServerLife = std::tuple<std::string, std::int64_t, std::uint64_t>;

ServerLife LifeOf(const PromptCrash& crash) {
  return {crash.server, crash.started_ms,
          crash.started_ms == 0 ? crash.id : std::uint64_t{0}};
}

// Sets `time` to the later one.
void RaiseTo(MonotonicTime at, MonotonicTime* time) {
  *time = std::max(*time, at);
}

}  // namespace

const char* ToString(PartState state) {
  constexpr const char* kNames[] = {"clear", "suspected", "quarantined"};
  return kNames[static_cast<int>(state)];
}

bool PromptQuarantine::CountsAgainst(const KnownCrash& known,
                                     const PromptPart& part) const {
  if (!Contains(known.crash.parts, part)) {
    return false;
  }
  const std::optional<MonotonicTime> sound_at =
      this->sound_parts.Find(part, ExtentBeyond(known.crash.events));
  return !sound_at || known.at > *sound_at;
}

std::vector<std::size_t> PromptQuarantine::CrashesWith(
    const PromptPart& part) const {
  const auto found = this->crashes_by_part.find(part);
  return found == this->crashes_by_part.end() ? std::vector<std::size_t>()
                                              : found->second;
}

void PromptQuarantine::IndexCrashes() {
  this->crashes_by_part.clear();
  for (std::size_t i = 0; i < this->crashes.size(); ++i) {
    for (const PromptPart& part : this->crashes[i].crash.parts) {
      this->crashes_by_part[part].push_back(i);
    }
  }
}

PromptQuarantine::PartEvidence PromptQuarantine::EvidenceOf(
    const PromptPart& part) const {
  PartEvidence evidence;
  std::set<ServerLife> ended;
  for (const std::size_t index : this->CrashesWith(part)) {
    const KnownCrash& known = this->crashes[index];
    if (!this->CountsAgainst(known, part)) {
      continue;
    }
    ended.insert(LifeOf(known.crash));
    if (known.crash.was_trial) {
      ++evidence.trials;
      RaiseTo(known.at, &evidence.last_trial_at);
    }
  }
  evidence.servers = ended.size();
  if (ended.size() >= this->CrashesNeeded(part)) {
    evidence.state = evidence.trials >= kTrialsToQuarantine
                         ? PartState::kQuarantined
                         : PartState::kSuspected;
  }
  return evidence;
}

std::size_t PromptQuarantine::CrashesNeeded(const PromptPart& part) const {
  if (this->sound_parts.Find(part, WholeAnswer())) {
    return kCrashesOfSoundPart;
  }
  return this->sound_parts.Contains(part) ? kCrashesOfBegunPart
                                          : kCrashesOfUnknownPart;
}

PartState PromptQuarantine::StateOf(const PromptPart& part) const {
  return this->EvidenceOf(part).state;
}

bool PromptQuarantine::AppliesTo(const PromptPart& part,
                                 const PromptParts& parts) const {
  std::optional<PromptParts> companions;
  for (const std::size_t index : this->CrashesWith(part)) {
    const KnownCrash& known = this->crashes[index];
    if (!known.crash.was_trial || !this->CountsAgainst(known, part)) {
      continue;
    }
    PromptParts common;
    for (const PromptPart& other : known.crash.parts) {
      if (this->StateOf(other) != PartState::kClear &&
          (!companions || Contains(*companions, other))) {
        common.push_back(other);
      }
    }
    companions = std::move(common);
  }
  return companions && Includes(parts, *companions);
}

bool PromptQuarantine::HasTrial(const PromptPart& part,
                                MonotonicTime now) const {
  for (const auto& entry : this->own_trials) {
    if (entry.second.until > now && Contains(entry.second.parts, part)) {
      return true;
    }
  }
  return std::any_of(this->peer_trials.begin(), this->peer_trials.end(),
                     [&part, now](const auto& peer) {
                       const auto trial = peer.second.find(part);
                       return trial != peer.second.end() && trial->second > now;
                     });
}

PromptDecision PromptQuarantine::Decide(const PromptParts& parts,
                                        MonotonicTime now) const {
  PromptDecision decision;
  for (const PromptPart& part : parts) {
    const PartEvidence evidence = this->EvidenceOf(part);
    if (evidence.state == PartState::kQuarantined &&
        this->AppliesTo(part, parts)) {
      const int doublings =
          std::min(evidence.trials - kTrialsToQuarantine, kMaxRetrialDoublings);
      const MonotonicTime next_trial =
          evidence.last_trial_at + kFirstRetrialInterval * (1 << doublings);
      if (now < next_trial) {
        return {PromptAdmission::kRefused, part, next_trial - now};
      }
    }
    if (this->HasTrial(part, now) && this->IsUnproven(part)) {
      decision = {PromptAdmission::kWait, part, Duration{0}};
    } else if (evidence.state != PartState::kClear &&
               decision.admission == PromptAdmission::kFree) {
      decision = {PromptAdmission::kTrial, part, Duration{0}};
    }
  }
  return decision;
}

std::int64_t PromptQuarantine::BeginTrial(const PromptParts& parts,
                                          MonotonicTime until) {
  PromptParts tried;
  std::copy_if(
      parts.begin(), parts.end(), std::back_inserter(tried),
      [this](const PromptPart& part) { return this->IsUnproven(part); });
  if (tried.empty()) {
    return 0;
  }
  this->own_trials[++this->last_trial_id] = {std::move(tried), until};
  return this->last_trial_id;
}

bool PromptQuarantine::NoteSound(const PromptParts& parts,
                                 AnswerExtent extent,
                                 MonotonicTime at) {
  bool has_changed = false;
  for (const PromptPart& part : parts) {
    const PartEvidence before = this->EvidenceOf(part);
    this->sound_parts.Note(part, extent, at);
    has_changed = has_changed || this->EvidenceOf(part) != before;
  }
  return has_changed;
}

PromptParts PromptQuarantine::WithoutWholeAnswer(
    const PromptParts& parts) const {
  PromptParts without;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(without),
               [this](const PromptPart& part) {
                 return !this->sound_parts.Find(part, WholeAnswer());
               });
  return without;
}

bool PromptQuarantine::AreSound(const PromptParts& parts) const {
  return std::all_of(parts.begin(), parts.end(),
                     [this](const PromptPart& part) {
                       return this->sound_parts.Find(part, WholeAnswer()) &&
                              this->EvidenceOf(part).servers == 0;
                     });
}

bool PromptQuarantine::AddCrash(const PromptCrash& crash, MonotonicTime at) {
  const auto known = std::find_if(
      this->crashes.begin(), this->crashes.end(),
      [&crash](const KnownCrash& other) { return other.crash.id == crash.id; });
  if (known != this->crashes.end()) {
    known->at = std::min(known->at, at);
    return false;
  }
  if (crash.parts.empty()) {
    return false;
  }
  if (this->crashes.size() >= kMaxCrashes) {
    this->EvictOne();
  }
  this->crashes.push_back({crash, at});
  for (const PromptPart& part : crash.parts) {
    this->crashes_by_part[part].push_back(this->crashes.size() - 1);
  }
  return true;
}

bool PromptQuarantine::HadEnded(const BackendServer& server,
                                MonotonicTime at) const {
  return server.started_ms != 0 &&
         std::any_of(this->crashes.begin(), this->crashes.end(),
                     [&server, at](const KnownCrash& known) {
                       return known.crash.server == server.id &&
                              known.crash.started_ms == server.started_ms &&
                              known.at <= at;
                     });
}

bool PromptQuarantine::IsOutdated(const KnownCrash& known) const {
  return std::none_of(known.crash.parts.begin(), known.crash.parts.end(),
                      [this, &known](const PromptPart& part) {
                        return this->CountsAgainst(known, part);
                      });
}

void PromptQuarantine::EvictOne() {
  std::map<PromptPart, PartState> states;
  for (const auto& entry : this->crashes_by_part) {
    states[entry.first] = this->StateOf(entry.first);
  }
  // Those that run against parts that are clear, in most cases of requests
  // which only shared a server, go before those that hold a state.
  const auto value = [this, &states](const KnownCrash& known) {
    if (this->IsOutdated(known)) {
      return -1;
    }
    PartState worst = PartState::kClear;
    for (const PromptPart& part : known.crash.parts) {
      worst = std::max(worst, states.at(part));
    }
    return static_cast<int>(worst);
  };
  this->crashes.erase(std::min_element(
      this->crashes.begin(), this->crashes.end(),
      [&value](const KnownCrash& left, const KnownCrash& right) {
        return value(left) < value(right);
      }));
  this->IndexCrashes();
}

void PromptQuarantine::NoteRefusal(const PromptPart& part, MonotonicTime at) {
  RaiseTo(at, &this->refusals[part]);
}

PromptEvidence PromptQuarantine::Export(const std::string& node,
                                        MonotonicTime now) {
  PromptEvidence evidence;
  evidence.node = node;
  const std::size_t count = this->crashes.size();
  const std::size_t exported = std::min(count, kMaxExported);
  const std::size_t newest = std::min(count, kMaxExported / 2);
  for (std::size_t i = 0; i < exported; ++i) {
    const std::size_t index =
        i < newest ? count - 1 - i : this->next_export++ % (count - newest);
    const KnownCrash& known = this->crashes[index];
    evidence.crashes.push_back({known.crash, ToMillis(now - known.at)});
    for (const PromptPart& part : known.crash.parts) {
      for (const auto& [extent, sound_at] : this->sound_parts.RunsOf(part)) {
        evidence.sound_age_ms[part][extent] = ToMillis(now - sound_at);
      }
      const auto refusal = this->refusals.find(part);
      if (refusal != this->refusals.end()) {
        evidence.refusal_age_ms[part] = ToMillis(now - refusal->second);
      }
    }
  }
  for (const auto& entry : this->own_trials) {
    const std::int64_t left_ms = ToMillis(entry.second.until - now);
    for (const PromptPart& part : entry.second.parts) {
      std::int64_t& longest = evidence.trial_left_ms[part];
      longest = std::max(longest, left_ms);
    }
  }
  return evidence;
}

bool PromptQuarantine::KnowsLongerRun(const PromptEvidence& evidence,
                                      const PromptPart& part) const {
  const std::map<AnswerExtent, MonotonicTime> runs =
      this->sound_parts.RunsOf(part);
  const auto sent = evidence.sound_age_ms.find(part);
  return !runs.empty() &&
         (sent == evidence.sound_age_ms.end() || sent->second.empty() ||
          sent->second.rbegin()->first < runs.rbegin()->first);
}

PromptQuarantine::MergeResult PromptQuarantine::Merge(
    const PromptEvidence& evidence,
    MonotonicTime now) {
  const auto at = [now](std::int64_t age_ms) {
    return now - std::chrono::milliseconds(age_ms);
  };
  MergeResult result;
  for (const auto& [part, runs] : evidence.sound_age_ms) {
    for (const auto& [extent, age_ms] : runs) {
      const std::optional<MonotonicTime> known =
          this->sound_parts.Find(part, extent);
      if (!known || at(age_ms) > *known + kMaxTransit) {
        // Whoever learns of a run with an accused part passes it on.
        result.has_changed =
            result.has_changed || this->EvidenceOf(part).servers > 0;
        this->NoteSound({part}, extent, at(age_ms));
      }
    }
  }
  for (const AgedPromptCrash& aged : evidence.crashes) {
    if (at(aged.age_ms) + kEvidenceLifetime <= now &&
        evidence.refusal_age_ms.empty()) {
      continue;
    }
    if (this->AddCrash(aged.crash, at(aged.age_ms))) {
      result.has_changed = true;
      result.knows_more =
          result.knows_more ||
          std::any_of(aged.crash.parts.begin(), aged.crash.parts.end(),
                      [this, &evidence](const PromptPart& part) {
                        return this->KnowsLongerRun(evidence, part);
                      });
    }
  }
  const std::set<PromptPart> with_crashes = this->PartsWithCrashes();
  for (const auto& [part, age_ms] : evidence.refusal_age_ms) {
    if (with_crashes.count(part) > 0) {
      this->NoteRefusal(part, at(age_ms));
    }
  }
  std::map<PromptPart, MonotonicTime>& trials =
      this->peer_trials[evidence.node];
  trials.clear();
  for (const auto& [part, left_ms] : evidence.trial_left_ms) {
    trials[part] = now + std::chrono::milliseconds(left_ms);
  }
  return result;
}

bool PromptQuarantine::IsStale(const KnownCrash& known,
                               MonotonicTime now) const {
  MonotonicTime needed_at = known.at;
  for (const PromptPart& part : known.crash.parts) {
    const auto refusal = this->refusals.find(part);
    if (refusal != this->refusals.end()) {
      RaiseTo(refusal->second, &needed_at);
    }
  }
  return (known.at + kOutdatedKept <= now && this->IsOutdated(known)) ||
         needed_at + kEvidenceLifetime <= now;
}

bool PromptQuarantine::DropStale(MonotonicTime now) {
  const auto first_stale =
      std::remove_if(this->crashes.begin(), this->crashes.end(),
                     [this, now](const KnownCrash& known) {
                       return this->IsStale(known, now);
                     });
  const bool has_dropped = first_stale != this->crashes.end();
  this->crashes.erase(first_stale, this->crashes.end());
  if (has_dropped) {
    this->IndexCrashes();
  }
  const std::set<PromptPart> with_crashes = this->PartsWithCrashes();
  for (auto entry = this->refusals.begin(); entry != this->refusals.end();) {
    entry = with_crashes.count(entry->first) == 0 ? this->refusals.erase(entry)
                                                  : std::next(entry);
  }
  for (auto peer = this->peer_trials.begin();
       peer != this->peer_trials.end();) {
    const bool has_ended =
        std::all_of(peer->second.begin(), peer->second.end(),
                    [now](const auto& trial) { return trial.second <= now; });
    peer = has_ended ? this->peer_trials.erase(peer) : std::next(peer);
  }
  return has_dropped;
}

std::set<PromptPart> PromptQuarantine::PartsWithCrashes() const {
  std::set<PromptPart> parts;
  for (const KnownCrash& known : this->crashes) {
    parts.insert(known.crash.parts.begin(), known.crash.parts.end());
  }
  return parts;
}

}  // namespace kumquatcart
