// A model server for random walks of planners: orders take time, may be carried
// out late, and reports lag.
#ifndef ENTRY_WALK_SERVER_H_
#define ENTRY_WALK_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/json.h"
#include "model/backend_server.h"
#include "net/event_loop.h"

namespace kumquatcart {

class WalkServer;

// The part of a server in a group, with what the join said.
struct WalkMembership {
  std::string group;
  std::int64_t epoch = 0;
  int rank = 0;
  MembershipState state = MembershipState::kJoining;
  std::string model;
  std::vector<std::string> members;
};

// How a join breaks the rule that no server joins another group while the head
// of its own is open or closing, whether or not the head stands still.
enum class JoinFault {
  kHeadServes,       // The head serves under the epoch that the server is in.
  kHeadServesOther,  // The head serves under another epoch of the group.
  kHeadServesLeft,   // The server has left, and the head has not noticed.
};

// What all servers of a walk have been.
struct WalkLedger {
  std::function<WalkServer*(const std::string& id)> find;
  // Called before a join that breaks the rule takes effect.
  std::function<void(const WalkServer& server,
                     const WalkMembership& former,
                     const Json& order,
                     JoinFault fault)>
      joined;
  // Group, epoch, members and the server that was ready.
  std::set<std::tuple<std::string,
                      std::int64_t,
                      std::vector<std::string>,
                      std::string>>
      ready;
  // Opened groups that a member had never been ready in.
  std::vector<std::string> opened_incomplete;
};

// Use only on the event loop's thread.
class WalkServer {
 public:
  // Time after which a head whose group lacks a member is broken.
  static constexpr Duration kStallTime = std::chrono::seconds(3);

  // `changed`: called when the entry has changed. `ledger` outlives this.
  WalkServer(std::string server_id,
             std::int64_t start_ms,
             WalkLedger* walk_ledger,
             std::function<void(const WalkServer&)> on_change)
      : id(std::move(server_id)),
        started_ms(start_ms),
        ledger(walk_ledger),
        changed(std::move(on_change)) {}

  // The entry that the server writes to the store, with no endpoint.
  BackendServer Entry() const;
  // What the server reports: its state of some time ago.
  Json Report(MonotonicTime now) const;

  // Returns the status of the answer.
  int Take(const Json& order, MonotonicTime now);

  // Carries out what is due.
  void Tick(MonotonicTime now);

  void Stop();
  // Another start under the same id, without memory of the former one.
  void Start(MonotonicTime now);

  bool IsUp() const { return this->is_up; }
  // Counts the starts.
  int Life() const { return this->life; }
  std::int64_t OrdersAccepted() const { return this->accepted; }
  const std::optional<WalkMembership>& Membership() const {
    return this->membership;
  }
  // Whether it is the head of an open or closing group.
  bool Serves() const {
    return this->membership && this->membership->rank == 0 &&
           (this->membership->state == MembershipState::kOpen ||
            this->membership->state == MembershipState::kClosing);
  }
  bool IsIn(const std::string& group, std::int64_t epoch) const {
    return this->is_up && this->membership &&
           this->membership->group == group && this->membership->epoch == epoch;
  }

  const std::string id;

 private:
  int Join(const Json& order, MonotonicTime now);
  int ChangeGroup(const Json& order, MonotonicTime now);
  void JudgeJoin(const Json& order) const;
  // Whether a member of the group that this is the head of is lost.
  bool LacksMember() const;
  void CheckMembers() const;
  void Change(MonotonicTime now);

  std::int64_t started_ms;
  WalkLedger* const ledger;
  const std::function<void(const WalkServer&)> changed;
  bool is_up = true;
  int life = 0;
  std::int64_t accepted = 0;  // Orders since the start.
  std::int64_t highest_epoch = 0;
  std::optional<WalkMembership> membership;
  std::optional<WalkMembership> left;  // The group that it left, if in none.
  std::string loaded_model;
  std::vector<std::string> staged_models;
  MonotonicTime state_ends_at;  // Of kJoining and kClosing.
  std::optional<MonotonicTime> stalled_since;
  std::deque<std::pair<MonotonicTime, Json>> reports;
};

}  // namespace kumquatcart

#endif  // ENTRY_WALK_SERVER_H_
