// Takes one caller's request from its head to its answer.
#ifndef ENTRY_REQUEST_FLOW_H_
#define ENTRY_REQUEST_FLOW_H_

#include <set>
#include <string>

#include "entry/server_attempt.h"

namespace kumquatcart {

// For the event loop's thread; used once.
class RequestFlow {
 public:
  // Precondition: `waiter` is attached to `caller`.
  RequestFlow(EntryContext* context,
              const CallerRequest& request,
              MonotonicTime received_at,
              TcpConnection* caller,
              Waiter* waiter,
              AnswerSender* answer);

  // Answers the request. False when the connection must end, since the answer
  // could not be completed.
  bool Run(Coroutine yield);

 private:
  bool Refuse(int status, Duration retry_after, std::string reason);
  // Gives a process that has just started time to read the store.
  void WaitForStart(Coroutine yield);
  // Finds route, caller and service. False when the request was answered.
  bool Identify();
  bool RunAttempts(Coroutine yield);
  PlaceResult AcquirePlace(Coroutine yield);
  PlaceQuery MakeQuery() const;
  // Whether the request may be sent once more after an attempt that ended so.
  bool MayRepeat(AttemptEnd end);
  // Whether the request's kind and its attempts so far allow one more.
  bool HasAttemptLeft(AttemptEnd end, int runs_so_far) const;
  // Takes a place for the attempt after the present one, or stands in line.
  bool ReserveNext();
  void DropReserved();
  // Answers after the last attempt, whose end was `reason`.
  bool GiveUp(Duration retry_after, const std::string& reason);
  void NoteAttempt(const Placement& placement,
                   AttemptEnd end,
                   const ServerAttempt& attempt);
  // Latest start with which the answer meets its target.
  MonotonicTime LatestStart() const;
  void LogEnd(int status, const std::string& reason);

  EntryContext* const context;
  const CallerRequest& request;
  const MonotonicTime received_at;
  std::shared_ptr<const RouteTable> routes;
  std::string service;
  bool uses_groups = false;
  AttemptJob job;
  std::set<std::string> excluded;
  int runs = 0;      // Attempts that ran or may have run.
  int declined = 0;  // Attempts that surely did not run.
  std::string last_server;
  // A server's failure, kept in case that no other server does better.
  std::optional<HeldAnswer> held_failure;
  // Turn in the line for the next attempt's place, while this one goes on.
  PlaceTicketPtr ticket;
  // Place and repeat that were taken for the next attempt.
  PlacementPtr reserved;
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_FLOW_H_
