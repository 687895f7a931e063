// Parts of prompts that crash servers, as all VMs know them.
#ifndef ROUTING_PROMPT_QUARANTINE_H_
#define ROUTING_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "model/backend_server.h"
#include "model/prompt_evidence.h"
#include "routing/sound_parts.h"

namespace kumquatcart {

// Whether a request may be sent to a server because of its prompt.
enum class PromptAdmission {
  kFree,     // No part of it is suspected.
  kTrial,    // As the only request with its suspected parts.
  kWait,     // A trial of one of its parts is in progress.
  kRefused,  // It has the part, or all of the parts, that crash servers.
};

struct PromptDecision {
  PromptAdmission admission = PromptAdmission::kFree;
  PromptPart part;          // The one that decides; empty if kFree.
  Duration retry_after{0};  // If kRefused: until the next trial.

  auto Tie() const {
    return std::tie(this->admission, this->part, this->retry_after);
  }
};

// How bad the evidence against a part is.
enum class PartState { kClear, kSuspected, kQuarantined };

// Lower-case name for logs. Thread safe.
const char* ToString(PartState state);

// Collects the crashes and the sound runs of all VMs and decides which requests
// may be sent. A run that gets clearly further than another one did that ended
// with its server outweighs that crash, since a part that crashes servers does
// so whatever else the request holds. A suspected part is
// tried with one request at a time, and quarantined when several trials have
// ended a server; then a trial is repeated after growing intervals. Merging is
// idempotent and independent of the order, so that VMs with the same evidence
// decide alike. Does no I/O. Not thread safe.
class PromptQuarantine {
 public:
  PromptDecision Decide(const PromptParts& parts, MonotonicTime now) const;

  PartState StateOf(const PromptPart& part) const;

  // Begins a trial of those of the parts that are suspected or had no sound run
  // yet; it ends at `until` at the latest. Returns its id, or 0 if there are no
  // such parts.
  std::int64_t BeginTrial(const PromptParts& parts, MonotonicTime until);
  void EndTrial(std::int64_t id) { this->own_trials.erase(id); }

  // Notes a run that had reached `extent`. Returns whether this changes the
  // evidence against one of the parts, so that peers should know.
  bool NoteSound(const PromptParts& parts,
                 AnswerExtent extent,
                 MonotonicTime at);

  // Adds a crash that was observed at `at`. Returns false if it is known.
  bool AddCrash(const PromptCrash& crash, MonotonicTime at);

  // Whether a crash of this start of `server` was observed by `at`, so that a
  // request which was sent later has not ended it. False if the start is not
  // known.
  bool HadEnded(const BackendServer& server, MonotonicTime at) const;

  // Notes that a request was refused because of `part`, which keeps the
  // evidence against it.
  void NoteRefusal(const PromptPart& part, MonotonicTime at);

  // Evidence for the peers of `node`, up to a bound; successive calls report
  // all in turn, and each the newest crashes.
  PromptEvidence Export(const std::string& node, MonotonicTime now);

  // What Merge() has found.
  struct MergeResult {
    bool has_changed = false;
    // Crashes that were unknown and have a part with a run that got further
    // than all that the sender knows.
    bool knows_more = false;
  };

  // Adds the evidence of a peer. Its trials replace those that it sent before.
  MergeResult Merge(const PromptEvidence& evidence, MonotonicTime now);

  // Drops evidence that is no longer needed. Returns whether a crash was.
  bool DropStale(MonotonicTime now);

  // Whether there is nothing to send.
  bool IsEmpty() const {
    return this->crashes.empty() && this->own_trials.empty();
  }

  // All parts that have crashes.
  std::set<PromptPart> PartsWithCrashes() const;

  // Those of the parts that have had no whole answer yet.
  PromptParts WithoutWholeAnswer(const PromptParts& parts) const;

  // Whether each of the parts has had a whole answer, and no crash counts
  // against it.
  bool AreSound(const PromptParts& parts) const;

 private:
  struct KnownCrash {
    PromptCrash crash;
    MonotonicTime at;
  };
  struct Trial {
    PromptParts parts;
    MonotonicTime until;
  };
  // The evidence against a part that no run outweighs.
  struct PartEvidence {
    PartState state = PartState::kClear;
    std::size_t servers = 0;  // That ended.
    int trials = 0;           // That ended a server.
    MonotonicTime last_trial_at;

    auto Tie() const {
      return std::tie(this->state, this->servers, this->trials,
                      this->last_trial_at);
    }
  };

  PartEvidence EvidenceOf(const PromptPart& part) const;
  std::size_t CrashesNeeded(const PromptPart& part) const;
  // Whether the evidence against a quarantined part applies to a request with
  // `parts`: it has all suspected parts that were in every such trial.
  bool AppliesTo(const PromptPart& part, const PromptParts& parts) const;
  bool CountsAgainst(const KnownCrash& known, const PromptPart& part) const;
  // Whether a run with the part got further than all that a peer has sent.
  bool KnowsLongerRun(const PromptEvidence& evidence,
                      const PromptPart& part) const;
  // Whether the part is suspected or had no sound run yet.
  bool IsUnproven(const PromptPart& part) const {
    return this->StateOf(part) != PartState::kClear ||
           !this->sound_parts.Contains(part);
  }
  bool HasTrial(const PromptPart& part, MonotonicTime now) const;
  // Positions of the crashes with the part.
  std::vector<std::size_t> CrashesWith(const PromptPart& part) const;
  void IndexCrashes();
  bool IsOutdated(const KnownCrash& known) const;
  bool IsStale(const KnownCrash& known, MonotonicTime now) const;
  // Makes room for one more crash.
  void EvictOne();

  SoundParts sound_parts{kSoundPartsKept};
  std::deque<KnownCrash> crashes;  // In the order of their arrival.
  std::unordered_map<PromptPart, std::vector<std::size_t>> crashes_by_part;
  std::map<PromptPart, MonotonicTime> refusals;  // The latest.
  std::map<std::int64_t, Trial> own_trials;
  std::int64_t last_trial_id = 0;
  std::map<std::string, std::map<PromptPart, MonotonicTime>> peer_trials;
  std::size_t next_export = 0;

  // Bounds the memory at about a megabyte.
  static constexpr std::size_t kSoundPartsKept = 4096;
};

}  // namespace kumquatcart

#endif  // ROUTING_PROMPT_QUARANTINE_H_
