// A backend server: of a plain service, or one that forms replica groups.
#ifndef SOAK_SERVER_STAND_IN_H_
#define SOAK_SERVER_STAND_IN_H_

#include <functional>
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
#include "soak/backoff_ledger.h"
#include "soak/crash_form.h"
#include "soak/drain_ledger.h"
#include "soak/limit_ledger.h"
#include "soak/prompt_ledger.h"
#include "soak/readiness_ledger.h"
#include "soak/retry_ledger.h"
#include "soak/run_ledger.h"
#include "soak/server_entries.h"
#include "soak/server_host.h"

namespace kumquatcart::soak {

class ServerStandIn;

// Finds the servers that live, so that a group's head stands still while one of
// its members is gone.
using ServerTable = std::map<std::string, ServerStandIn*>;

// What a server needs. The referents outlive it.
struct ServerParts {
  EventLoop* loop = nullptr;
  ServerEntries* entries = nullptr;
  RunLedger* ledger = nullptr;
  LimitLedger* limits = nullptr;
  BackoffLedger* backoffs = nullptr;
  ReadinessLedger* readiness = nullptr;
  RetryLedger* retries = nullptr;
  ServerTable* table = nullptr;
  bool varies_framing = false;  // Draws a form for each answer.
  // With these, it ends under each prompt that has the crashing part.
  PromptLedger* prompts = nullptr;
  std::function<void(ServerStandIn*)> ended_under_prompt = nullptr;
  DrainLedger* drains = nullptr;  // Null: requests of leaving servers pass.
  CrashForm crash_form = CrashForm::kWithin;
};

// How long a leaving server goes on, if nothing else is said.
constexpr Duration kUsualDrainTime = std::chrono::milliseconds(2500);

// One start of a server, at the address of its VM. For the event loop's thread.
// Lives until the loop has ended.
class ServerStandIn {
 public:
  ServerStandIn(ServerParts parts,
                std::string id,
                std::string service,
                bool forms_groups,
                std::shared_ptr<ServerHost> host);
  ~ServerStandIn() { this->Die(); }
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  // Listens and registers. Precondition: no server has the VM's address.
  // Errors: kUnavailable.
  Status Start();

  // Ends without a word; its entry lapses later. Its connections end, or stay
  // open if `silences_open`.
  void Die(bool silences_open = false);
  // Holds back all that this VM writes to the store, until the VM's cut ends.
  // Precondition: `cut` is not kNone.
  void CutFromStore(StoreCut cut);
  // Tells that it is leaving, goes on for that time, and is gone.
  void Drain(Duration time = kUsualDrainTime);
  // Writes its entry to the store, unless the VM is cut off from that.
  void Register();
  bool IsAlive() const { return this->alive; }
  bool IsDraining() const { return this->draining; }
  bool FormsGroups() const { return this->forms_groups; }

  // Names `per_second` as its rate limit in all answers; none ends it.
  void SetLimit(std::optional<double> per_second);
  // Rejects requests until `end` and names the time until then: those of all
  // entry VMs, or of half of them.
  void RejectUntil(MonotonicTime end, bool towards_all);
  // From now on breaks off this share of its plain answers, 0 to 1, within
  // their bodies, after the request has run.
  void BreakAnswers(double share) { this->broken_share = share; }
  // Whether it is the head of an open group.
  bool IsOpenHead() const;

  // The members of the group that it last joined; empty for none.
  std::vector<std::string> GroupMembers() const;

  TcpProxy& Link() { return this->host->Link(); }
  const std::shared_ptr<ServerHost>& Host() const { return this->host; }
  const std::string& Id() const { return this->id; }
  const std::string& Service() const { return this->service; }

 private:
  struct Membership {
    GroupFormation formation;
    std::string state;
  };

  // Removes the entry after the heartbeats that it has missed then.
  void LapseEntry();
  Json Describe() const;
  void Serve(boost::asio::ip::tcp::socket socket);
  // False when the connection is to be closed.
  bool Answer(const ParsedRequest& request,
              TcpConnection* connection,
              Waiter* waiter,
              Coroutine yield);
  SimpleHttpResponse TakeOrder(const Json& order);
  SimpleHttpResponse Join(const Json& order);
  // Precondition: it is in a group.
  void Open();
  void BecomeReady(const GroupFormation& joined);
  bool Stream(const ParsedRequest& request,
              TcpConnection* connection,
              Waiter* waiter,
              Coroutine yield);
  // Whether this server ends when it begins to answer the request.
  bool CrashesUnder(const ParsedRequest& request) const;
  // Number of events of an answer after which this server ends then; more than
  // an answer has if it ends after the whole one.
  int EventsBeforeCrash() const;
  // Sends nothing, a part or all of `next_event`.
  void SendBeforeCrash(AnswerSender* sender,
                       const std::string& next_event,
                       TcpConnection* connection,
                       Waiter* waiter,
                       Coroutine yield) const;
  // Ends under a prompt after `delay`. Returns false.
  bool Crash(Duration delay, Coroutine yield);
  // Whether it breaks off the plain answer to the request: the same each time.
  bool BreaksOff(const std::string& request_id) const;
  AnswerForm FormOf(const std::string& request_id) const;
  // Ends a stream that is not whole as `form` says. Returns false.
  bool BreakOff(const AnswerForm& form,
                AnswerSender* sender,
                TcpConnection* connection) const;
  // Whether it is in the group of that name and epoch.
  bool IsInGroup(const GroupFormation& served) const;
  // Whether the head of that group is alive and open.
  bool IsServing(const GroupFormation& served) const;
  // Whether every member is alive and in the group that this server heads.
  bool IsWhole(const GroupFormation& served) const;
  // Rejects the request if this server rejects those of its entry VM now.
  // Returns whether it did.
  bool RejectIfBusy(const ParsedRequest& request,
                    TcpConnection* connection) const;
  // Records that a request has arrived, whether or not it is rejected.
  void NoteArrival(const ParsedRequest& request) const;
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
  const std::shared_ptr<ServerHost> host;
  std::int64_t started_ms = 0;  // Unix time.
  std::unique_ptr<TcpListener> listener;
  bool alive = false;
  bool draining = false;
  std::optional<double> limit;
  MonotonicTime rejects_until;
  double broken_share = 0;
  bool rejects_all = false;  // Requests of every entry VM.
  int orders = 0;            // Accepted.
  int entries_written = 0;
  std::string loaded_model;
  std::optional<Membership> membership;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SERVER_STAND_IN_H_
