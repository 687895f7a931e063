// Backend servers as they register themselves, and the groups they report.
#ifndef MODEL_BACKEND_SERVER_H_
#define MODEL_BACKEND_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "model/vm.h"

namespace kumquatcart {

// What a server says of its part in a group.
enum class MembershipState { kJoining, kReady, kOpen, kClosing, kBroken };

// Lower-case name for logs. Thread safe.
inline const char* ToString(MembershipState state) {
  constexpr const char* kNames[] = {"joining", "ready", "open", "closing",
                                    "broken"};
  return kNames[static_cast<int>(state)];
}

// The group that a server last joined.
struct GroupMembership {
  std::string group;
  std::int64_t epoch = 0;
  int rank = 0;  // 0 is the head.
  MembershipState state = MembershipState::kJoining;

  auto Tie() const {
    return std::tie(this->group, this->epoch, this->rank, this->state);
  }
};

// One registered server.
struct BackendServer {
  std::string id;  // Of one start; a restarted server mostly has another.
  std::string service;
  Endpoint endpoint;
  std::string failure_domain;
  std::string fabric_domain;    // Empty for plain services.
  std::int64_t started_ms = 0;  // Unix time of its start; 0 where not given.
  int slots = 1;
  bool draining = false;
  Duration cold_left{0};     // Of the time in which it is slow; when written.
  std::string loaded_model;  // Empty: none.
  std::vector<std::string> staged_models;  // In its VM's memory.
  std::optional<GroupMembership> membership;
  std::int64_t orders_accepted = 0;  // Since its start.

  auto Tie() const {
    return std::tie(this->id, this->service, this->endpoint,
                    this->failure_domain, this->fabric_domain, this->started_ms,
                    this->slots, this->draining, this->cold_left,
                    this->loaded_model, this->staged_models, this->membership,
                    this->orders_accepted);
  }
};

// What a server answers when asked for its state; some hundred milliseconds
// old.
struct EngineReport {
  std::string loaded_model;     // Empty: none.
  std::int64_t started_ms = 0;  // Unix time of its start; 0 where not given.
  std::int64_t orders_accepted = 0;
  int waiting = 0;
  int running = 0;
  double pace = 1;  // Above 1: slower than it should be.
  std::vector<std::string> staged_models;
  std::optional<GroupMembership> membership;

  auto Tie() const {
    return std::tie(this->loaded_model, this->started_ms, this->orders_accepted,
                    this->waiting, this->running, this->pace,
                    this->staged_models, this->membership);
  }
};

// The recorded intent of one group: who forms it. The record's place in the log
// is its epoch.
struct GroupRecord {
  std::string group;
  std::int64_t epoch = 0;
  std::string service;
  std::string model;
  std::string fabric_domain;
  std::vector<std::string> members;  // Server ids; the first is the head.
                                     // Empty: the group is dissolved.
  // Unix times in ms of the starts of `members`, in their order. A member is
  // one start of its server. 0, or no element: unknown.
  std::vector<std::int64_t> member_starts;

  auto Tie() const {
    return std::tie(this->group, this->epoch, this->service, this->model,
                    this->fabric_domain, this->members, this->member_starts);
  }
};

// Whether two statements of a server, with the Unix times of its start, may be
// of the same start. True if one of them does not give it. Thread safe.
inline bool MayBeSameStart(std::int64_t left_ms, std::int64_t right_ms) {
  return left_ms == 0 || right_ms == 0 || left_ms == right_ms;
}

// Whether `server`, which is listed at `rank` of `record`, has started again
// since the record was written. Thread safe.
inline bool HasRestartedSince(const BackendServer& server,
                              const GroupRecord& record,
                              std::size_t rank) {
  const std::int64_t recorded_ms = rank < record.member_starts.size()
                                       ? record.member_starts[rank]
                                       : std::int64_t{0};
  return recorded_ms != 0 && server.started_ms > recorded_ms;
}

// Whether `membership`, from a report that another server may have given, is
// that of the member at `rank` in the list of `record`. Thread safe.
inline bool IsMembershipAt(const std::optional<GroupMembership>& membership,
                           const GroupRecord& record,
                           std::size_t rank) {
  return membership && membership->group == record.group &&
         membership->epoch == record.epoch && membership->rank >= 0 &&
         static_cast<std::size_t>(membership->rank) == rank;
}

// Whether the server, by its entry, is in the group of `record` under its
// epoch. Thread safe.
inline bool IsMemberOf(const BackendServer& server, const GroupRecord& record) {
  return server.membership && server.membership->group == record.group &&
         server.membership->epoch == record.epoch;
}

}  // namespace kumquatcart

#endif  // MODEL_BACKEND_SERVER_H_
