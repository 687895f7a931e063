// A backend server: of a plain service, or one that forms replica groups.
#ifndef SOAK_SERVER_STAND_IN_H_
#define SOAK_SERVER_STAND_IN_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/json.h"
#include "entry/answer_sender.h"
#include "entry/simple_http_server.h"
#include "soak/answer_form.h"
#include "soak/limit_ledger.h"
#include "soak/run_ledger.h"
#include "soak/store_stand_in.h"
#include "soak/tcp_proxy.h"

namespace kumquatcart::soak {

class ServerStandIn;

// Finds the servers that live, so that a group's head stands still while one of
// its members is gone.
using ServerTable = std::map<std::string, ServerStandIn*>;

// What a server needs. The referents outlive it.
struct ServerParts {
  EventLoop* loop = nullptr;
  StoreStandIn* store = nullptr;
  RunLedger* ledger = nullptr;
  LimitLedger* limits = nullptr;
  ServerTable* table = nullptr;
  bool varies_framing = false;  // Draws a form for each answer.
};

// Listens behind a proxy of its own, which the entry VMs know as its address.
// For the event loop's thread. Lives until the loop has ended.
class ServerStandIn {
 public:
  ServerStandIn(ServerParts parts,
                std::string id,
                std::string service,
                bool forms_groups);
  ~ServerStandIn() { this->Die(); }
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  // Listens and registers. Errors: kUnavailable.
  Status Start();

  // Ends without a word; its entry lapses later.
  void Die();
  // Tells that it is leaving, goes on for a while, and is gone.
  void Drain();
  bool IsAlive() const { return this->alive; }
  bool IsDraining() const { return this->draining; }
  bool FormsGroups() const { return this->forms_groups; }

  // Names `per_second` as its rate limit in all answers; none ends it.
  void SetLimit(std::optional<double> per_second);
  // Whether it is the head of an open group.
  bool IsOpenHead() const;

  TcpProxy& Link() { return *this->proxy; }
  const std::string& Id() const { return this->id; }

 private:
  struct Membership {
    std::string group;
    std::int64_t epoch = 0;
    std::vector<std::string> members;
    std::string state;
  };

  void Register();
  Json Describe() const;
  void Serve(boost::asio::ip::tcp::socket socket);
  // False when the connection is to be closed.
  bool Answer(const ParsedRequest& request,
              TcpConnection* connection,
              Waiter* waiter,
              Coroutine yield);
  SimpleHttpResponse TakeOrder(const Json& order);
  SimpleHttpResponse Join(const Json& order);
  void BecomeReady(const Membership& joined);
  bool Stream(const ParsedRequest& request,
              TcpConnection* connection,
              Waiter* waiter,
              Coroutine yield);
  AnswerForm FormOf(const std::string& request_id) const;
  // Ends a stream that is not whole as `form` says. Returns false.
  bool BreakOff(const AnswerForm& form,
                AnswerSender* sender,
                TcpConnection* connection) const;
  // Whether the head of that group is alive and open.
  bool IsServing(const Membership& served) const;
  // Whether every member is alive and in the group that this server heads.
  bool IsWhole(const Membership& served) const;
  // Records a request and adds the limit to the header fields of its answer.
  void NoteRequest(const std::string& request_id) const;
  void AddLimit(const std::string& request_id, HeaderList* headers) const;
  void AnswerText(const ParsedRequest& request,
                  int status,
                  const std::string& body,
                  bool not_run,
                  TcpConnection* connection) const;

  const ServerParts parts;
  const std::string id;
  const std::string service;
  const bool forms_groups;
  TcpEndpoint address;
  std::unique_ptr<TcpListener> listener;
  std::unique_ptr<TcpProxy> proxy;
  TcpEndpoint proxy_address;
  bool alive = false;
  bool draining = false;
  std::optional<double> limit;
  int orders = 0;
  std::string loaded_model;
  std::set<std::string> staged;
  std::optional<Membership> membership;
  // Groups, epochs and lists under which it was ready once.
  std::set<std::string> ever_ready;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SERVER_STAND_IN_H_
