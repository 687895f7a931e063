// Forwards one caller's request to backend servers and answers the caller.
#ifndef ENTRY_REQUEST_FORWARDER_H_
#define ENTRY_REQUEST_FORWARDER_H_

#include <optional>
#include <set>
#include <string>

#include "entry/prompt_guard.h"
#include "entry/server_attempt.h"
#include "routing/region_rule.h"

namespace kumquatcart {

// Runs on the event loop's thread; one instance per request.
class RequestForwarder {
 public:
  // Precondition: `waiter` is attached to `caller`.
  RequestForwarder(EntryContext* context,
                   const CallerRequest& request,
                   MonotonicTime received_at,
                   TcpConnection* caller,
                   Waiter* waiter,
                   AnswerSender* answer);

  // Answers the request. Returns false when the caller's connection must be
  // closed because the answer could not be completed.
  bool Run(Coroutine yield);

 private:
  bool RespondWithError(int status, Duration retry_after, std::string reason);
  // Waits up to kStartupWait for a process that has just started to load the
  // configuration and the fleet state.
  void WaitForStartup(Coroutine yield);
  // Determines route, organisation and service. Returns false when the request
  // has been answered with an error.
  bool ResolveRequest();
  // Answers a request that the configuration does not allow.
  void Deny(int status, const char* reason);
  bool RunAttempts(Coroutine yield);
  // Waits until the prompt may be sent. Returns false if the request must not
  // be sent, or its caller is gone; `pass` says why.
  bool AdmitPrompt(PromptPass* pass, Coroutine yield);
  bool MaySendPrompt() const;
  // Tells the guard of prompts how far the answer got.
  void NoteProgress(AttemptOutcome outcome, const ServerAttempt& attempt);
  // Sends the guard the end of a run. Precondition: the request was sent.
  void NoteRunEnd(const ServerAttempt& attempt, RunEnd end);
  SlotResult AcquireSlot(Coroutine yield);
  SlotQuery MakeQuery() const;
  // Excludes the servers of regions in which the request may not run.
  void ExcludeOtherRegions(SlotQuery* query) const;
  // The latest end of the request if it is sent to healthy servers now.
  MonotonicTime LatestEnd() const;
  // Whether no server has run the request yet and it may last longer than the
  // grace period of a stop that has begun.
  bool MayOutlastStop() const;
  bool RefuseForStop();
  // Whether the request may be retried after an attempt that ended with
  // `outcome`. Takes a retry from the budget unless ReserveNext() has taken it.
  bool MayRetry(AttemptOutcome outcome);
  // Whether the route's retry rules allow another attempt after `runs_so_far`
  // attempts that may have run.
  bool HasAttemptLeft(AttemptOutcome outcome, int runs_so_far) const;
  // Takes a slot and a retry for the attempt after the current one. Returns
  // false while the request is queued for a slot or no retry is allowed.
  bool ReserveNext();
  void CancelReservation();
  // Answers after the last attempt has failed. `reason` is logged.
  bool GiveUp(Duration retry_after, const std::string& reason);
  void NoteAttempt(const ServerSlot& slot,
                   AttemptOutcome outcome,
                   const ServerAttempt& attempt);
  // Latest start time that still meets the route's latency target.
  MonotonicTime LatestStart() const;
  // Highest event id that the caller was sent, -1 without any.
  std::int64_t LastEvent() const;
  void LogRequest(int status, const std::string& reason);

  EntryContext* const context;
  const CallerRequest& request;
  const MonotonicTime received_at;
  std::shared_ptr<const RouteTable> routes;
  std::string service;
  bool uses_groups = false;
  AttemptJob job;
  std::optional<RegionRule> region_rule;  // Once the route is known.
  std::set<std::string> excluded;
  int runs = 0;      // Attempts that executed or may have.
  int declined = 0;  // Attempts that did not execute.
  std::string last_server;
  std::string last_domain;   // Failure domain of `last_server`.
  const char* slot_by = "";  // Who assigned the latest slot, for logs.
  // Of the last attempt's answer, for logs.
  std::string answer_framing;
  std::string answer_end;
  // Of the current attempt; null unless it is a trial of the prompt.
  PromptTrialPtr prompt_trial;
  // Latest error answer of a server; sent to the caller when no later attempt
  // succeeds.
  std::optional<BufferedAnswer> last_failure;
  // Queued request for the next attempt's slot while the current attempt
  // continues.
  SlotRequestPtr slot_request;
  // Slot of the next attempt. Its retry is already taken from the budget.
  ServerSlotPtr reserved_slot;
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_FORWARDER_H_
