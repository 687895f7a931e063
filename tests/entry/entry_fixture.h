// The request path with scripted servers, on loopback and one event loop.
#ifndef ENTRY_ENTRY_FIXTURE_H_
#define ENTRY_ENTRY_FIXTURE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry/caller_session.h"
#include "entry/request_path.h"
#include "fakes/loop_server.h"

namespace kumquatcart {

// Routes: /once/ may run once, /again/ is idempotent, /stream/ is a resumable
// stream of a service with groups of one, each route with two attempts.
class EntryFixture {
 public:
  static constexpr int kSlots = 4;  // Of each server.

  EntryFixture();
  ~EntryFixture() { this->loop.EndCoroutines(); }
  EntryFixture(const EntryFixture&) = delete;
  EntryFixture& operator=(const EntryFixture&) = delete;

  // Adds a server of the plain service, or of the model service with an open
  // group of its own.
  void AddPlain(const std::string& id, LoopServer::Script script);
  void AddGroup(const std::string& id, LoopServer::Script script);

  // A server does not answer any more, and every request hears of it.
  void LoseServer(const std::string& id);

  // Wakes every request, as news do.
  void NotifySessions();

  // Sends `request` on a new connection and returns all bytes that come until
  // the entry VM ends it. `Connection: close` in the request makes it end.
  std::string Ask(const std::string& request);

  // Starts to send `request` on a new connection, which ends `stay` later.
  void AskAndLeave(const std::string& request, Duration stay);

  // Lets everything go on for `duration`.
  void RunFor(Duration duration);

  EntryContext& Context() { return this->path.context; }

  // Requests in progress at a server, as this entry VM counts them.
  int InProgress(const std::string& id) const {
    return this->path.requests.Own(id);
  }

  // Heads of the requests that servers received, in order.
  std::vector<std::string> received;
  EventLoop loop;
  FleetView view;

 private:
  void Add(const std::string& id,
           const std::string& service,
           LoopServer::Script script);
  void ApplyConfig();

  HttpClient engine_http;
  EngineClient engines;
  StoreClient store;
  PeerDirectory peers;
  PlannerRole role;
  ServerProber prober;
  RequestPath path;
  std::vector<std::unique_ptr<LoopServer>> servers;
  std::unique_ptr<LoopServer> front;
  std::set<Waiter*> sessions;
};

// A request for `path` that ends its connection. `extra` are header lines.
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& extra = "");

// An answer to the request whose head is `head`, with its id and a signature.
std::string MakeAnswer(const std::string& head,
                       const std::string& status,
                       const std::string& body);

// Reads one request and answers it with what `answer` makes of its head; an
// empty answer closes the connection.
LoopServer::Script AnswerWith(
    std::function<std::string(const std::string& head)> answer);

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_FIXTURE_H_
