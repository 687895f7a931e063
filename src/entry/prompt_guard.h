// Keeps requests whose prompts crash servers away from them.
#ifndef ENTRY_PROMPT_GUARD_H_
#define ENTRY_PROMPT_GUARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "entry/prompt_network.h"
#include "model/caller_request.h"
#include "net/waiter.h"
#include "routing/prompt_quarantine.h"
#include "routing/server_start.h"

namespace kumquatcart {

class PromptGuard;

// The right to send one request with suspected parts. Ends with this object.
class PromptTrial {
 public:
  PromptTrial(PromptGuard* guard, std::int64_t id) : guard(guard), id(id) {}
  ~PromptTrial();
  PromptTrial(const PromptTrial&) = delete;
  PromptTrial& operator=(const PromptTrial&) = delete;

 private:
  PromptGuard* const guard;
  const std::int64_t id;
};
using PromptTrialPtr = std::shared_ptr<PromptTrial>;

// Whether a request may be sent, and if not, the answer to its caller.
struct PromptPass {
  bool may_send = true;
  PromptTrialPtr trial;  // Null unless the request is a trial.
  Duration retry_after{0};
  const char* reason = "";
};

// What ended the run of a request at a server, as far as this VM has seen it.
enum class RunEnd {
  kUnanswered,  // The input, before the head of an answer.
  kCutShort,    // The input of the answer, before it was whole.
  kClosed,     // The same, but the answer is whole unless the server has ended.
  kWhole,      // The framing of a whole answer.
  kAbandoned,  // This VM, since the caller had left or the time was up.
  kStalled,    // None yet: its group lost a member, its input is open.
};

// The run of a request at a server that has ended.
struct EndedRun {
  RunEnd end = RunEnd::kCutShort;
  int events = 0;  // That the server had written.
  MonotonicTime sent_at;

  auto Tie() const { return std::tie(this->end, this->events, this->sent_at); }
};

// Applies the quarantine of this VM to its requests, collects evidence from
// their attempts and shares it with the peers. Not thread safe: used on the
// event loop's thread.
class PromptGuard {
 public:
  // The referents must outlive this object.
  PromptGuard(EventLoop* loop,
              std::string node,
              PromptNetwork* network,
              MetricRegistry* metrics,
              std::uint32_t seed);

  // Starts to repeat the evidence for peers that have missed it.
  void Start();

  // Called before each attempt. Suspends while a trial of one of the parts is
  // in progress, until `give_up_at` at the latest or until `has_left` says that
  // the caller is gone.
  PromptPass Admit(const CallerRequest& request,
                   MonotonicTime give_up_at,
                   const std::function<bool()>& has_left,
                   Waiter* waiter,
                   Coroutine yield);

  // Whether a request that was admitted may still be sent. `is_trial`: as the
  // trial of its parts.
  bool MaySend(const CallerRequest& request, bool is_trial) const;

  // Whether the request would be rejected for its prompt.
  bool IsRefused(const CallerRequest& request) const;

  // A server has written its answer up to `extent`.
  void NoteSound(const CallerRequest& request, AnswerExtent extent);

  // `server` answers requests.
  void NoteAnswering(const ServerStart& server);

  // The request was sent to `server`, and its run there ended. Finds out
  // whether the server has ended with it, unless nothing could be learnt from
  // that; `trial` lasts until then. Precondition: the server answers reports.
  void NoteEnd(const CallerRequest& request,
               const BackendServer& server,
               PromptTrialPtr trial,
               const EndedRun& run);

  void HandleEvidence(const PromptEvidence& evidence);

  // A digest of the peer has arrived. One that was silent may have missed
  // evidence, or has just started.
  void HandlePeer(const std::string& node);

  void DropStale();

 private:
  friend class PromptTrial;

  // A run until it is known whether its server has ended.
  struct Suspicion {
    std::string request_id;
    PromptParts parts;
    PromptTrialPtr trial;  // Holds requests with the parts back; may be null.
    bool was_trial = false;
    EndedRun run;
  };
  // Runs at one start of a server that ended alike and are examined together.
  struct Examination {
    BackendServer server;
    MonotonicTime begun_at;
    std::vector<Suspicion> suspicions;  // At least one.
  };
  using ExaminationPtr = std::shared_ptr<Examination>;

  // Whether the end of the server would say nothing new of the parts.
  bool IsSettled(const PromptParts& parts, const EndedRun& run) const;
  PromptAdmission AdmissionOf(const CallerRequest& request) const;
  // Null if all of the parts are known to be sound.
  PromptTrialPtr BeginTrial(const PromptParts& parts);
  void EndTrial(std::int64_t id);
  void NoteSoundParts(const PromptParts& parts, AnswerExtent extent);
  // The evidence of this VM has changed by its own observation.
  void HandleOwnChange();
  // Adds the run to the examination of such runs at its server that has just
  // begun, or begins one.
  void BeginExamination(const BackendServer& server, Suspicion suspicion);
  void Examine(const ExaminationPtr& examination, Coroutine yield);
  // Whether the server has answered requests well after the examination began.
  bool WasHeardSince(const Examination& examination) const;
  void AddCrashes(const Examination& examination);
  // Whether this VM is among the few that answer a crash.
  bool DrawsReply();
  // Logs parts whose state has changed. `source`: what has changed it.
  void LogStates(const char* source);
  // Sends to all peers, immediately or as soon as the minimum time since the
  // last message has passed.
  void SendSoon();
  void SendToAll();
  void SendToSome(std::size_t count);
  void RepeatEvidence(Coroutine yield);
  Duration MinSendInterval() const;

  EventLoop* const loop;
  const std::string node;
  PromptNetwork* const network;
  MetricRegistry* const metrics;
  std::mt19937_64 generator;
  PromptQuarantine quarantine;
  std::map<PromptPart, PartState> logged_states;  // Other than kClear.
  std::map<std::string, MonotonicTime> peers_heard_at;
  std::map<ServerStart, MonotonicTime> servers_heard_at;
  // Those that may be shared, before the first probe has a result.
  std::map<std::pair<ServerStart, RunEnd>, ExaminationPtr> joinable;
  MonotonicTime changed_at;  // By an observation of this VM.
  MonotonicTime sent_at;     // To all peers.
  bool is_send_scheduled = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_PROMPT_GUARD_H_
