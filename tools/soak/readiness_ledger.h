// Which members were ready in which groups, in whatever start of a server.
#ifndef SOAK_READINESS_LEDGER_H_
#define SOAK_READINESS_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart::soak {

// One formation of a group: what its members were ordered to join.
struct GroupFormation {
  std::string group;
  std::int64_t epoch = 0;
  std::vector<std::string> members;  // Server ids; the first is the head.

  auto Tie() const { return std::tie(this->group, this->epoch, this->members); }
};

// Outlives the servers. The soak's one thread uses it.
class ReadinessLedger {
 public:
  void NoteReady(const GroupFormation& formation, const std::string& member);

  // Members that were never ready in `formation`. One that was ready and ended
  // is not among them.
  std::vector<std::string> NeverReady(const GroupFormation& formation) const;

  // A group opens. Returns another one that has opened with its epoch, if there
  // is one.
  std::optional<GroupFormation> NoteOpen(const GroupFormation& formation);

 private:
  using Key = std::tuple<std::string,               // Group.
                         std::int64_t,              // Epoch.
                         std::vector<std::string>,  // Members.
                         std::string>;  // The member that was ready.

  std::set<Key> ready;
  std::map<std::int64_t, GroupFormation> opened;  // The first of each epoch.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_READINESS_LEDGER_H_
