// One send of a request to one server.
#ifndef ENTRY_SERVER_ATTEMPT_H_
#define ENTRY_SERVER_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "entry/answer_sender.h"
#include "entry/entry_context.h"
#include "entry/event_splitter.h"
#include "entry/group_places.h"
#include "model/caller_request.h"
#include "platform/caller_codec.h"

namespace kumquatcart {

// What became of an attempt.
enum class AttemptEnd {
  kDelivered,   // The caller has the whole answer.
  kFailure,     // The server answered with a failure that may be passed on.
  kNotRun,      // The server did not run the request and never will.
  kMayHaveRun,  // Sent, and nobody can say.
  kCallerGone,
  kTimeUp,
};

// Lower-case name for logs. Thread safe.
const char* ToString(AttemptEnd end);

// The part of a stream that the caller has, over all attempts.
struct StreamProgress {
  // Events were passed on at `now`.
  void NoteEvents(MonotonicTime now);

  std::optional<std::int64_t> last_event;  // Newest event id passed on.
  bool has_events = false;
  MonotonicTime first_event_at;
  MonotonicTime last_event_at;
  Duration longest_pause{0};  // Between two events.
};

// A server's answer that was held back because another may be better.
struct HeldAnswer {
  int status = 0;
  HeaderList headers;
  std::string body;
};

// Everything that the attempts of one request share.
struct AttemptJob {
  EntryContext* context = nullptr;
  const CallerRequest* request = nullptr;
  const RouteRule* route = nullptr;
  std::string organisation;
  bool is_late = false;  // It misses its target anyway.
  TcpConnection* caller = nullptr;
  Waiter* waiter = nullptr;
  AnswerSender* answer = nullptr;
  StreamProgress progress;
  MonotonicTime end;  // No answer is of use after this.
  // Reserves a place where the request can go on in place of a group that lost
  // a member. False when there is none, or no further attempt is allowed.
  std::function<bool()> reserve_next;
  // Gives such a place back, or the turn in the line for one.
  std::function<void()> drop_reserved;
};

// For the event loop's thread; used once.
class ServerAttempt {
 public:
  ServerAttempt(AttemptJob* job, Placement* placement);

  AttemptEnd Run(Coroutine yield);

  // After kFailure: the server's answer.
  const HeldAnswer& Failure() const { return this->failure; }
  // Why it ended as it did, for logs.
  const std::string& Reason() const { return this->reason; }
  // After kNotRun: the server that the answer blames; may be empty.
  const std::string& BlamedServer() const { return this->blamed; }

 private:
  bool OpenConnection(Coroutine yield);
  void SendRequest();
  AttemptEnd Relay(Coroutine yield);
  // None while the attempt goes on.
  std::optional<AttemptEnd> Step();
  std::optional<AttemptEnd> HandleInput();
  std::optional<AttemptEnd> HandleStreamInput(ResponseState state);
  std::optional<AttemptEnd> HandleWholeAnswer();
  bool IsStray() const;
  void PassOnEvents(const std::string& bytes);
  void FinishConnection();
  AttemptEnd Done(AttemptEnd end, std::string reason);

  AttemptJob* const job;
  Placement* const placement;
  ConnectionPtr connection;
  std::optional<ResponseStream> response;
  ServerAnswerHead head;
  bool head_read = false;
  EventSplitter splitter;
  HeldAnswer failure;
  std::string reason;
  std::string blamed;
};

}  // namespace kumquatcart

#endif  // ENTRY_SERVER_ATTEMPT_H_
