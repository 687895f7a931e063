// One attempt to forward a request to one backend server.
#ifndef ENTRY_SERVER_ATTEMPT_H_
#define ENTRY_SERVER_ATTEMPT_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "entry/answer_buffer_use.h"
#include "entry/answer_sender.h"
#include "entry/entry_context.h"
#include "entry/event_splitter.h"
#include "entry/group_load_balancer.h"
#include "entry/stream_progress.h"
#include "model/answer_extent.h"
#include "model/caller_request.h"
#include "platform/caller_codec.h"

namespace kumquatcart {

// Outcome of an attempt.
enum class AttemptOutcome {
  kDelivered,   // The complete answer was sent to the caller.
  kFailure,     // The server sent an error answer that may be forwarded.
  kNotRun,      // The server has not executed the request and will not.
  kMayHaveRun,  // The request was sent; its execution is unknown.
  kCallerGone,
  kDeadlineExceeded,
};

// Lower-case name for logs. Thread safe.
const char* ToString(AttemptOutcome outcome);

// What an answer shows of the server that wrote it.
enum class AnswerProgress {
  kUnknown,
  kCutShort,  // Its input ended before it was whole; the server may have ended.
  kAbandoned,  // Its input had not ended when the attempt did.
  kWhole,      // From its first event on.
};

// An answer of a server that is buffered because a retry may succeed.
struct BufferedAnswer {
  int status = 0;
  HeaderList headers;
  std::string body;
};

class ServerAttempt;

// State shared by all attempts of one request.
struct AttemptJob {
  // When the request must be answered, whether a server has answered or not.
  MonotonicTime AnswerBy() const {
    return std::min(this->deadline, this->context->answer_by);
  }

  EntryContext* context = nullptr;
  const CallerRequest* request = nullptr;
  const RouteRule* route = nullptr;
  std::string organisation;
  bool is_late = false;  // Cannot meet its latency target.
  TcpConnection* caller = nullptr;
  Waiter* waiter = nullptr;
  AnswerSender* answer = nullptr;
  StreamProgress progress;
  // An answer is of no use to the caller after this.
  MonotonicTime deadline;
  // Reserves a slot in another group, to replace a group that lost a member.
  // Returns false when no slot is free or no further attempt is allowed.
  std::function<bool()> reserve_next;
  // Whether the request may still be sent, for all that is known of its prompt.
  std::function<bool()> may_send;
  // Cancels the queued request for such a slot.
  std::function<void()> cancel_reservation;
  // The group of the attempt lost a member while the server owed an answer.
  // Called at most once for each attempt, which may go on.
  std::function<void(const ServerAttempt&)> note_stall;
};

// Runs on the event loop's thread; one instance per attempt.
class ServerAttempt {
 public:
  ServerAttempt(AttemptJob* job, ServerSlot* slot);

  AttemptOutcome Run(Coroutine yield);

  // The server's answer. Precondition: the outcome was kFailure.
  const BufferedAnswer& Failure() const { return this->failure; }
  // Reason of the outcome, for logs.
  const std::string& Reason() const { return this->reason; }
  // Framing of the answer, for logs; empty without a head.
  std::string AnswerFraming() const;
  // What ended the input of the answer, for logs.
  std::string AnswerEnd() const { return ToString(this->response->End()); }
  // After kNotRun: whether the server wants no requests for some time, which is
  // no failure of it.
  bool HasBackoff() const { return this->is_held_back || this->names_backoff; }
  // How far the answer got. Precondition: Run() has returned.
  AnswerProgress Progress() const { return this->progress; }
  // Whether the server was to go on with the answer of an earlier attempt, or
  // with one that the caller had before.
  bool IsResumption() const { return this->is_resumption; }
  const ServerSlot& Slot() const { return *this->slot; }
  // Whether the server was seen to be leaving while the attempt ran.
  bool WasServerLeaving() const { return this->was_server_leaving; }
  // Whether the job's note_stall was called.
  bool HasStalled() const { return this->has_stalled; }
  // Zero: nothing was sent.
  MonotonicTime SentAt() const { return this->sent_at; }
  // Number of whole events of the stream that the server has written.
  int EventsReceived() const { return this->events_received; }
  // After kNotRun: whether nothing was sent, because the server's backoff or
  // the quarantine of the prompt began after the server was selected.
  bool IsHeldBack() const { return this->is_held_back; }
  // After kNotRun: the server that the answer names as the cause; may be empty.
  const std::string& SuspectedServer() const { return this->suspected; }

 private:
  // Opens a connection, sends the request and relays the answer.
  AttemptOutcome RunExchange(Coroutine yield);
  // Outcome after a failure that ended the exchange wherever it was.
  AttemptOutcome EndAfterFailure();
  bool OpenConnection(Coroutine yield);
  void SendRequest();
  AttemptOutcome Relay(Coroutine yield);
  // Forwards available input; none while the attempt continues.
  std::optional<AttemptOutcome> Step();
  std::optional<AttemptOutcome> HandleInput();
  std::optional<AttemptOutcome> HandleStreamInput(ResponseState state);
  std::optional<AttemptOutcome> HandleWholeAnswer();
  bool AnswersOtherRequest() const;
  // Whether the answer names no request and is not the first one on its
  // connection, so that it may be a repeated answer to an earlier request.
  bool MayAnswerOtherRequest() const;
  // Discards what has arrived of an answer to another request. Returns false
  // when too much of them has arrived.
  bool SkipOtherAnswer(ResponseState state);
  // Processes what the answer's head says of the server itself.
  void ProcessServerState();
  void NoteRateLimit();
  void NoteBackoff();
  void NoteLeaving();
  // Whether the answer is passed on event by event. Precondition: its head has
  // been read.
  bool IsStream() const;
  void BeginStreamOnce();
  // Returns why the stream does not go on with these events; empty if it does.
  std::string ForwardEvents(const std::string& bytes);
  void ForwardText(const std::string& text);
  // Logs the first event that continues an earlier attempt's stream.
  void LogResumptionOnce(const StreamEvent& event);
  // Counts an event of the answer, and notes how far it has got.
  void NoteEvent();
  // Records the time that the server took to begin, with the first event.
  void NoteFirstEvent();
  // Whether the server may have run the request in spite of its rejection:
  // another answer to it stands in the input. A repeated rejection and bytes
  // that are no answer don't say so. Takes input, so that the connection cannot
  // be reused.
  bool MayHaveRunAfterRejection();
  void FinishConnection();
  void NoteAvailability();
  // Whether the answer to this request has begun, or its head may still come.
  bool OwesAnswer() const;
  void NoteStallOnce();
  // How far the answer of an attempt that ends with `outcome` got.
  AnswerProgress JudgeProgress(AttemptOutcome outcome) const;
  AttemptOutcome SetOutcome(AttemptOutcome outcome, std::string reason);

  AttemptJob* const job;
  ServerSlot* const slot;
  ConnectionPtr connection;
  bool is_reused = false;  // The connection has carried earlier requests.
  std::optional<ResponseParser> response;
  ServerAnswerHead head;
  bool head_read = false;
  int skipped_answers = 0;
  std::size_t skipped_bytes = 0;
  AnswerBufferUse buffer_use;
  bool is_held_back = false;
  bool names_backoff = false;
  bool sent_under_limit = false;  // The server's rate limit was known.
  MonotonicTime sent_at;          // Zero: nothing was sent.
  bool is_resumption = false;
  bool was_server_leaving = false;
  bool has_stalled = false;
  bool has_forwarded_events = false;  // Of this attempt.
  int events_received = 0;
  std::optional<AnswerExtent> extent;  // That has been noted.
  AnswerProgress progress = AnswerProgress::kUnknown;
  // The caller's last event when the attempt began, until it is continued.
  std::optional<std::int64_t> resumed_after;
  EventSplitter splitter;
  BufferedAnswer failure;
  std::string reason;
  std::string suspected;
};

}  // namespace kumquatcart

#endif  // ENTRY_SERVER_ATTEMPT_H_
