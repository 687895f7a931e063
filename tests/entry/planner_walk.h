// A random walk of planners that order the same servers, each taking the others
// for silent, while entries come late, orders are lost or carried out late, and
// servers and planners come and go.
#ifndef ENTRY_PLANNER_WALK_H_
#define ENTRY_PLANNER_WALK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/content_rules.h"
#include "control/group_reconciler.h"
#include "control/group_record_codec.h"
#include "entry/walk_server.h"
#include "fakes/loop_store.h"

namespace kumquatcart {

struct WalkSettings {
  std::uint32_t seed = 0;
  std::size_t planners = 2;
  // Whether entries, orders and paths are disturbed. Servers start again and
  // end in any case.
  bool is_disturbed = true;
  Duration duration = std::chrono::seconds(10);
};

struct WalkResult {
  std::map<JoinFault, int> faults;
  std::vector<std::string> details;  // Of the faults, with their timelines.
  std::vector<std::string> opened_incomplete;
  int joins = 0;      // Orders received.
  int orders = 0;     // The same with all others.
  int conflicts = 0;  // Orders whose `expect` did not hold.
  // How often the records of two groups came to list one start of a server.
  int listed_twice = 0;
  // Time until all servers were in open groups again; none: not in time.
  std::optional<Duration> recovered_after;
  std::string unrecovered;  // What was missing.
};

// Draws from a seed.
class WalkRandom {
 public:
  explicit WalkRandom(std::uint32_t seed) : engine(seed) {}

  // From 0 to below `count`.
  std::size_t Below(std::size_t count) { return this->engine() % count; }
  bool IsOneOf(std::size_t outcomes) { return this->Below(outcomes) == 0; }
  Duration Time(Duration shortest, Duration longest) {
    constexpr unsigned kNanosecondBits = 16;
    const auto span = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest +
           Duration(static_cast<Duration::rep>(
               (std::uint64_t{this->engine()} << kNanosecondBits) % span));
  }

 private:
  std::mt19937 engine;
};

// Use only on the event loop's thread.
class PlannerWalk {
 public:
  // The loop outlives this, and its coroutines end before this does.
  PlannerWalk(EventLoop* event_loop, WalkSettings walk_settings);
  ~PlannerWalk();
  PlannerWalk(const PlannerWalk&) = delete;
  PlannerWalk& operator=(const PlannerWalk&) = delete;

  // Walks, and waits until the groups have recovered, `kRecoveryTime` at most.
  void Run(Coroutine yield);
  const WalkResult& Result() const { return this->result; }

 private:
  struct Planner;
  struct Host;
  // An entry on its way to one planner.
  struct Delivery {
    MonotonicTime due;
    BackendServer entry;
    bool is_removed = false;
  };

  static constexpr Duration kTickInterval = std::chrono::milliseconds(5);
  static constexpr Duration kRecoveryTime = std::chrono::seconds(10);

  void Trace(const std::string& text);

  void AddServer();
  SimpleHttpResponse Handle(Host* host,
                            std::size_t slot,
                            const ParsedRequest& request,
                            Coroutine yield);
  SimpleHttpResponse HandleOrder(Host* host,
                                 std::size_t slot,
                                 const Json& order,
                                 Coroutine yield);
  int Apply(Host* host, std::size_t slot, const Json& order, const char* way);
  // Sends the entry of a server, or its removal, to the planners.
  void Publish(const WalkServer& server, bool is_removed);
  void Deliver(std::size_t slot, const WalkServer& server, bool is_removed);
  void NoteFault(const WalkServer& server,
                 const WalkMembership& former,
                 const Json& order,
                 JoinFault fault);

  // Another planner, with an empty view, takes the place of the last one.
  void StartPlanner(std::size_t slot);
  void Tick();
  // Counts servers that two records list since the last call.
  void CountListedTwice();
  void Disturb(Coroutine yield);
  void DisturbOnce();
  void RestartServer(Host* host);
  // Cuts off the server from one planner.
  void Cut(Host* host, std::size_t slot, Duration time);
  // What keeps the walk from having recovered; empty: nothing.
  std::string Missing() const;

  EventLoop* const loop;
  const WalkSettings settings;
  const std::string domain;
  const MonotonicTime started_at;
  WalkRandom schedule;  // Of the disturbances.
  WalkRandom random;    // Of all else, whose order is not that of the seed.
  LoopStore store;
  std::shared_ptr<const RoutingConfig> config;
  WalkLedger ledger;
  WalkResult result;
  std::vector<std::string> trace;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Planner>> planners;  // Former ones, too.
  std::vector<Planner*> slots;  // The present planners, then the observer.
  std::vector<std::map<std::string, std::deque<Delivery>>> deliveries;
  std::vector<MonotonicTime> held_until;  // Entries, by slot.
  std::set<std::string> listed_twice;     // Servers, at present.
  std::uint64_t counted_changes = 0;
  Duration slowest_store;  // Longest time of a call of the store.
  bool is_disturbed = false;
  bool has_ended = false;
  // The order that is being carried out.
  std::size_t order_slot = 0;
  const char* order_way = "";
};

}  // namespace kumquatcart

#endif  // ENTRY_PLANNER_WALK_H_
