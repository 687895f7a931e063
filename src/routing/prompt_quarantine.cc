#include "routing/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatcart {

namespace {

// Crashes after which a part is suspected: of a part without any sound run, and
// of one that had sound runs before. Parts that many requests share are in
// progress at most servers that fail for another reason.
constexpr std::size_t kCrashesOfUnknownPart = 1;
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
  const std::optional<MonotonicTime> sound_at = this->sound_parts.Find(part);
  return !sound_at || known.at > *sound_at;
}

PromptQuarantine::PartEvidence PromptQuarantine::EvidenceOf(
    const PromptPart& part) const {
  PartEvidence evidence;
  std::set<std::pair<std::string, std::int64_t>> starts;
  std::size_t unknown_starts = 0;
  for (const KnownCrash& known : this->crashes) {
    if (!this->CountsAgainst(known, part)) {
      continue;
    }
    if (known.crash.started_ms == 0) {
      ++unknown_starts;
    } else {
      starts.insert({known.crash.server, known.crash.started_ms});
    }
    if (known.crash.was_trial) {
      ++evidence.trials;
      RaiseTo(known.at, &evidence.last_trial_at);
    }
  }
  const std::size_t needed = this->sound_parts.Find(part)
                                 ? kCrashesOfSoundPart
                                 : kCrashesOfUnknownPart;
  if (starts.size() + unknown_starts >= needed) {
    evidence.state = evidence.trials >= kTrialsToQuarantine
                         ? PartState::kQuarantined
                         : PartState::kSuspected;
  }
  return evidence;
}

PartState PromptQuarantine::StateOf(const PromptPart& part) const {
  return this->EvidenceOf(part).state;
}

bool PromptQuarantine::AppliesTo(const PromptPart& part,
                                 const PromptParts& parts) const {
  std::optional<PromptParts> companions;
  for (const KnownCrash& known : this->crashes) {
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

bool PromptQuarantine::NoteSound(const PromptParts& parts, MonotonicTime at) {
  bool had_crashes = false;
  for (const PromptPart& part : parts) {
    had_crashes =
        had_crashes || std::any_of(this->crashes.begin(), this->crashes.end(),
                                   [this, &part](const KnownCrash& known) {
                                     return this->CountsAgainst(known, part);
                                   });
    this->sound_parts.Note(part, at);
  }
  return had_crashes;
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
  return true;
}

bool PromptQuarantine::HasQuarantinedPart(const KnownCrash& known) const {
  return std::any_of(known.crash.parts.begin(), known.crash.parts.end(),
                     [this](const PromptPart& part) {
                       return this->StateOf(part) == PartState::kQuarantined;
                     });
}

void PromptQuarantine::EvictOne() {
  const auto spare = std::find_if(this->crashes.begin(), this->crashes.end(),
                                  [this](const KnownCrash& known) {
                                    return !this->HasQuarantinedPart(known);
                                  });
  this->crashes.erase(spare == this->crashes.end() ? this->crashes.begin()
                                                   : spare);
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
      if (const auto sound_at = this->sound_parts.Find(part)) {
        evidence.sound_age_ms[part] = ToMillis(now - *sound_at);
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

PromptQuarantine::MergeResult PromptQuarantine::Merge(
    const PromptEvidence& evidence,
    MonotonicTime now) {
  const auto at = [now](std::int64_t age_ms) {
    return now - std::chrono::milliseconds(age_ms);
  };
  MergeResult result;
  for (const auto& [part, age_ms] : evidence.sound_age_ms) {
    const std::optional<MonotonicTime> known = this->sound_parts.Find(part);
    if (!known || at(age_ms) > *known + kMaxTransit) {
      result.has_changed =
          this->NoteSound({part}, at(age_ms)) || result.has_changed;
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
                        return evidence.sound_age_ms.count(part) == 0 &&
                               this->sound_parts.Find(part);
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
  bool is_outdated = true;
  for (const PromptPart& part : known.crash.parts) {
    const auto refusal = this->refusals.find(part);
    if (refusal != this->refusals.end()) {
      RaiseTo(refusal->second, &needed_at);
    }
    is_outdated = is_outdated && !this->CountsAgainst(known, part);
  }
  return (is_outdated && known.at + kOutdatedKept <= now) ||
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
