// A caller that checks every answer.
#ifndef SOAK_SOAK_CALLER_H_
#define SOAK_SOAK_CALLER_H_

#include <functional>
#include <random>
#include <string>

#include "net/response_parser.h"
#include "net/tcp_connection.h"
#include "soak/prompt_ledger.h"
#include "soak/retry_ledger.h"
#include "soak/run_ledger.h"

namespace kumquatcart::soak {

// Host of every route, and the key of every caller.
constexpr char kRouteHost[] = "soak.example";
constexpr char kCallerKey[] = "key-1";
// The services that callers use.
constexpr char kPlainService[] = "plain";
constexpr char kModelService[] = "models";

// Idle timeouts of the newest version and of the one before.
struct IdleTimeouts {
  Duration newest;
  Duration previous;
};

struct CallerRules {
  std::function<TcpEndpoint()> pick;  // Address for the next connection.
  std::function<bool()> goes_on;
  // Whether the ledger is given connections that end without an answer.
  bool notes_closes = false;
  // Whether to rest between requests for up to four fifths of the newest idle
  // timeout, half of the times near the end of the one before.
  bool rests = false;
  std::function<IdleTimeouts()> idle_timeouts;
  bool varies_version = false;     // Sends some requests with HTTP/1.0.
  RetryLedger* retries = nullptr;  // Given all requests; may be null.
  // Given what became of its streams; null: their prompts are not described.
  PromptLedger* prompts = nullptr;
  // Sends only streams whose prompts have the crashing part.
  bool crashes_servers = false;
  // Leaves each answer after this time; zero: after whole answers, mostly.
  Duration leaves_after{0};
};

// Sends one request after the other over connections that it keeps until they
// end. For the event loop's thread.
class SoakCaller {
 public:
  // `seed` makes its choices.
  SoakCaller(EventLoop* loop,
             RunLedger* ledger,
             std::string name,
             std::uint64_t seed,
             CallerRules rules);

  void Run(Coroutine yield);

  int Served() const { return this->served; }
  int Asked() const { return this->asked; }

 private:
  RequestKind PickKind();
  // How long to wait for an answer.
  Duration PickPatience();
  // The parts of the prompt of a stream.
  std::string DescribePrompt(const std::string& id) const;
  // Gives the ledger of prompts what became of a stream.
  void NotePrompt(RequestKind kind, MonotonicTime sent_at, RequestEnd end);
  void Rest(Coroutine yield);
  // Whether the other side has reset the ended connection before this call.
  bool WasReset(Coroutine yield);
  // Whether the next request is sent with HTTP/1.0.
  bool PickOldVersion();
  // What became of one request on the open connection.
  RequestEnd Ask(RequestKind kind, const std::string& id, Coroutine yield);
  RequestEnd Check(RequestKind kind,
                   const std::string& id,
                   const ResponseParser& response,
                   const std::string& body);

  EventLoop* const loop;
  RunLedger* const ledger;
  const std::string name;
  std::minstd_rand generator;
  const CallerRules rules;
  std::shared_ptr<TcpConnection> connection;
  Waiter waiter;
  std::string entry_vm;  // Address of the current connection.
  int asked = 0;
  int served = 0;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SOAK_CALLER_H_
