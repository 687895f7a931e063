// Everything of one soak: stand-ins, processes, callers.
#ifndef SOAK_SOAK_WORLD_H_
#define SOAK_SOAK_WORLD_H_

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.h"
#include "soak/config_ledger.h"
#include "soak/config_plan.h"
#include "soak/entry_child.h"
#include "soak/server_stand_in.h"
#include "soak/soak_caller.h"
#include "soak/store_stand_in.h"

namespace kumquatcart::soak {

struct SoakSettings {
  std::string program;    // The kumquatcart binary.
  std::string directory;  // Exists; settings and logs go there.
  std::uint64_t seed = 1;
  Duration length{0};  // With faults; a calm end follows.
  int entries = 3;
  int plain_servers = 3;
  int engines = 7;
  int group_size = 2;  // Members of each replica group.
  int callers = 10;
  int unused_routes = 0;     // Routes that no caller uses, in every version.
  bool with_limits = false;  // Servers name rate limits.
  // Servers reject requests with a Retry-After.
  bool with_backoffs = false;
  // Versions change the idle timeout, and half of the callers rest up to it.
  bool with_idle_timeouts = false;
  // Servers frame answers in all forms and break some off; some callers speak
  // HTTP/1.0.
  bool with_framings = false;
  // Plain servers break off answers, and all processes are killed again and
  // again.
  bool with_broken_answers = false;
  // Servers start again at their addresses, which others also get.
  bool with_rebirths = false;
  // Some callers send prompts under which servers end.
  bool with_crashing_prompts = false;
  CrashForm crash_form = CrashForm::kWithin;
  int crashing_callers = 3;  // At once.
  // The store loses reads in silences, after which versions are written. Takes
  // the place of the faults of processes, links and servers.
  bool with_silences = false;
  // Versions move, split and drop routes and rotate keys; VMs are spread over
  // failure domains, and their ways to the store are harmed in more ways.
  bool with_config_changes = false;
  // The store comes back from older copies of itself, and servers leave for
  // long.
  bool with_rollbacks = false;
  bool names_era = true;  // Whether answers of the store do.
  // No faults of processes, links, servers and the store but those of the
  // settings above.
  bool is_calm = false;
};

// The idle timeout of the first version.
constexpr Duration kFirstIdleTimeout = std::chrono::seconds(15);

// For the event loop's thread; holds until the loop has ended.
class SoakWorld {
 public:
  explicit SoakWorld(const SoakSettings& settings);

  // Starts stand-ins and processes. Errors: kUnavailable.
  Status Start();
  void StartCallers();
  void StopCallers() { this->calling = false; }

  // Writes a new configuration, with one route more; returns its version.
  int ChangeConfig();
  int Version() const { return this->version; }
  // The newest version that was written before `time` and that the store still
  // has; 0 if there is none.
  int VersionSince(MonotonicTime time) {
    return this->config_ledger.History().NewestHeld(time, this->loop.Now());
  }
  // While the store is away it refuses every call, or with `cuts_links` no
  // connection reaches it.
  void SetStoreAway(bool is_away, bool cuts_links);
  // The store goes back to what it had `age` before. Returns the servers whose
  // entries it lost. The operator is to write all lost versions again, or the
  // newest alone, before its next one.
  std::set<std::string> RollStoreBack(Duration age, bool newest_only);
  // Versions that are still to be written again.
  int LostVersions() const {
    return static_cast<int>(this->lost_versions.size());
  }
  // Writes the oldest lost version again, if there is one.
  void RewriteVersion();
  // Writes a server's entry again as it is now, or its removal. An entry of a
  // server that has ended stays until it lapses.
  void RewriteEntry(const std::string& server);
  // The idle timeout of the next version.
  void SetIdleTimeout(Duration timeout) {
    this->idle = {timeout, this->idle.newest};
  }
  Duration IdleTimeout() const { return this->idle.newest; }
  // Starts one more server of the kind, on a VM of its own.
  void AddServer(bool forms_groups);
  // Starts a server on a VM that has none.
  void StartServer(const std::shared_ptr<ServerHost>& host,
                   const std::string& id,
                   bool forms_groups);
  std::string NextServerId();
  // Servers that live and are not leaving.
  std::vector<ServerStandIn*> Servers(bool forms_groups) const;
  // Those of them that get requests: plain servers, or heads of open groups.
  std::vector<ServerStandIn*> RequestServers(bool forms_groups) const;
  // How many more of them there are than at the start.
  int SpareServers(bool forms_groups) const;
  // Starts processes that have ended, and takes note of ends.
  void KeepProcesses(bool restarts);

  // Asks for a route that came with `version`, at one process, and returns the
  // status; 0 for no answer.
  int AskRoute(const EntryChild& entry, int version, Coroutine yield);
  // Asks one process what a version has changed. Leaves `in_touch` to the
  // caller.
  ConfigAnswer AskQuestion(const EntryChild& entry,
                           const ConfigQuestion& question,
                           Coroutine yield);
  // Whether the store, the process and the link between them have all been
  // sound since `time`.
  bool WasCalmSince(EntryChild* entry, MonotonicTime time) const;
  bool IsReady(const EntryChild& entry, Coroutine yield);

  EventLoop loop;
  RunLedger ledger;
  LimitLedger limits;
  BackoffLedger backoffs;
  ReadinessLedger readiness;
  RetryLedger retries{RetryRules{}};
  DrainLedger drains;
  PromptLedger prompts;
  ConfigLedger config_ledger;
  StoreStandIn store;
  std::vector<std::unique_ptr<EntryChild>> entries;
  std::vector<std::unique_ptr<SoakCaller>> callers;

 private:
  std::unique_ptr<SoakCaller> MakeCaller(int index, bool crashes_servers);
  // Starts another server at the VM of one that has ended, after some time.
  void Replace(ServerStandIn* former);
  int FailureDomains() const;
  int PlainServers() const;
  // The plain service with the fewest servers.
  std::string PlainServiceToFill() const;
  std::string ServiceOf(const std::string& server) const;
  // An id for a question that `entry` is asked.
  std::string NextQuestion(const EntryChild& entry);
  // Routes and keys of the next version.
  Json MakeRoutes(const ConfigVersion& drawn) const;
  HttpResponse Exchange(const TcpEndpoint& address,
                        const std::string& target,
                        const std::string& id,
                        const std::string& key,
                        Coroutine yield);

  const SoakSettings settings;
  ServerEntries server_entries;
  ServerTable table;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  std::vector<std::unique_ptr<SoakCaller>> crashing_callers;
  std::minstd_rand generator;
  TcpEndpoint store_address;
  int version = 0;
  // Numbers and contents, in order.
  std::deque<std::pair<int, std::string>> lost_versions;
  IdleTimeouts idle{kFirstIdleTimeout, kFirstIdleTimeout};
  ConfigPlan plan;
  int servers_started = 0;
  int hosts = 0;
  int questions = 0;
  bool calling = true;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SOAK_WORLD_H_
