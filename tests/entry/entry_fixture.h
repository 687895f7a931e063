// The request path with scripted backend servers, on loopback and one event
// loop.
#ifndef ENTRY_ENTRY_FIXTURE_H_
#define ENTRY_ENTRY_FIXTURE_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry/caller_session.h"
#include "entry/entry_context.h"
#include "entry/group_load_balancer.h"
#include "entry/group_stall_detector.h"
#include "entry/plain_load_balancer.h"
#include "entry/prompt_exchange.h"
#include "entry/prompt_guard.h"
#include "entry/server_gate.h"
#include "entry/server_limiter.h"
#include "fakes/loop_server.h"
#include "net/response_parser.h"

namespace kumquatcart {

// A deployment of one entry VM, which allocates all permits itself.
class LoopPermitNetwork : public PermitNetwork {
 public:
  explicit LoopPermitNetwork(EventLoop* loop) : loop(loop) {}

  MonotonicTime Now() const override { return this->loop->Now(); }
  void CallAfter(Duration delay, std::function<void()> callback) override {
    this->loop->Spawn(
        [this, delay, callback = std::move(callback)](Coroutine yield) {
          this->loop->Sleep(delay, yield);
          callback();
        });
  }
  NodeCounts CountNodes() const override { return NodeCounts{}; }
  std::string FindCoordinator(const std::string&) const override {
    return "node";
  }
  void Send(const std::string&, const PermitMessage&) override {}

 private:
  EventLoop* const loop;
};

// The network of a deployment with one node, or with one more that coordinates
// slots.
class LoopSlotNetwork : public SlotNetwork {
 public:
  explicit LoopSlotNetwork(EventLoop* loop) : loop(loop) {}

  MonotonicTime Now() const override { return this->loop->Now(); }
  std::string FindCoordinator() const override {
    return this->coordinator ? "other" : "node";
  }
  void Send(const std::string&, const SlotMessage& message) override {
    if (std::holds_alternative<SlotAsk>(message)) {
      this->coordinator(std::get<SlotAsk>(message));
    }
  }

  // Receives what this node asks the other one; null: there is no other.
  std::function<void(const SlotAsk&)> coordinator;

 private:
  EventLoop* const loop;
};

// An answer as its caller reads it.
struct CallerAnswer {
  ResponseState state = ResponseState::kIncomplete;
  int status = 0;
  ResponseFraming framing = ResponseFraming::kNone;
  HeaderList headers;
  std::string body;   // What arrived of it.
  std::string extra;  // Bytes after a complete answer.
};

// Routes: /once/ is at-most-once, /again/ is idempotent, /stream/ is a
// resumable stream of a model service with groups of one server, /stream-once/
// one that is not resumable. Each route allows two attempts.
class EntryFixture {
 public:
  EntryFixture();
  ~EntryFixture() { this->loop.UnwindCoroutines(); }
  EntryFixture(const EntryFixture&) = delete;
  EntryFixture& operator=(const EntryFixture&) = delete;

  // Adds a server of the plain service, or one of the model service that forms
  // an open group.
  void AddPlain(const std::string& id, LoopServer::Script script);
  void AddGroup(const std::string& id, LoopServer::Script script);

  // The server that was added as the `index`th one.
  LoopServer* Server(std::size_t index) {
    return this->servers.at(index).get();
  }

  // Replaces the entry of a server, as a new start of it does.
  void StartServer(const BackendServer& server);

  // Puts a new version of the configuration in force.
  void ChangeConfig(const std::function<void(RoutingConfig* config)>& change);
  void SetIdleTimeout(Duration idle_timeout);

  // The same with a version that no longer lists `service`, whose routes lead
  // to the plain service.
  void RemoveService(const std::string& service);

  // Where the entry VM accepts callers.
  TcpEndpoint EntryAddress() const { return this->entry_server->Address(); }

  // Notifies the waiter of every session, as a change of the fleet does.
  void WakeSessions();

  // Sends `request` on a new connection and returns all bytes received until
  // the entry VM closes it. The request must contain `Connection: close`.
  std::string SendRequest(const std::string& request);

  // Sends `request` on a new connection, reads the answer and waits for the end
  // of the connection. The request must contain `Connection: close`.
  CallerAnswer Call(const std::string& request);

  // Starts sending `request` on a new connection, which is closed after `stay`.
  void SendAndDisconnect(const std::string& request, Duration stay);

  // Runs the event loop for `duration`.
  void RunFor(Duration duration);

  // Number of requests in progress at a server, as counted by this entry VM.
  int InProgress(const std::string& id) const {
    return this->load.LocalCount(id);
  }

  // Lets another node assign slots: all of the group of `server`, whatever it
  // is asked for.
  void CoordinateBy(const std::string& server);
  // Lets another node assign slots that never answers.
  void LoseSlotRequests();
  // What the other node was asked.
  std::vector<SlotAsk> asked;

  // Heads of the requests that servers received, in order.
  std::vector<std::string> received;
  EventLoop loop;
  FleetView view;
  EntryContext context;

 private:
  void Add(const std::string& id,
           const std::string& service,
           LoopServer::Script script);
  void ApplyConfig();
  // Puts `config`, of a higher version, in force.
  void AdoptConfig(const RoutingConfig& config);
  // Sends `request` on a new connection and calls `read_input` whenever input
  // may have arrived, until the connection ends.
  void Exchange(const std::string& request,
                const std::function<void(TcpConnection*)>& read_input);

  ClusterLoad load;
  ClusterLoad unread_tokens;
  ConnectionPool pool;
  HttpClient engine_http;
  EngineClient engines;
  StoreClient store;
  PeerDirectory peers;
  DigestExchange digests;
  PromptExchange prompt_exchange;
  MetricRegistry metrics;
  PromptGuard prompts;
  PlannerRole role;
  ServerProber prober;
  LoopPermitNetwork permits;
  ServerLimiter limiter;
  ServerGate gate;
  LoopSlotNetwork slot_network;
  SlotClient slots;
  GroupLoadBalancer group_balancer;
  PlainLoadBalancer plain_balancer;
  GroupStallDetector stall_detector;
  SharedRetryBudget shared_retry_budget;
  std::vector<std::unique_ptr<LoopServer>> servers;
  std::unique_ptr<LoopServer> entry_server;
  std::set<Waiter*> sessions;
};

// Returns a request for `path` with `Connection: close`. `extra` holds further
// header lines, each with its line end.
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& extra = "");

// Returns a response to the request with the head `head`, with the request's id
// and a signature.
std::string MakeAnswer(const std::string& head,
                       const std::string& status,
                       const std::string& body);

// Inserts a header field into an answer.
std::string WithField(std::string answer, const std::string& field);

// Returns a script that answers each request with the result of `answer` for
// its head. An empty result closes the connection.
LoopServer::Script AnswerWith(
    std::function<std::string(const std::string& head)> answer);

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_FIXTURE_H_
