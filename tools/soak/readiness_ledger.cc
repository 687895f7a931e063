#include "soak/readiness_ledger.h"

#include <algorithm>
#include <iterator>

namespace kumquatcart::soak {

void ReadinessLedger::NoteReady(const GroupFormation& formation,
                                const std::string& member) {
  this->ready.emplace(formation.group, formation.epoch, formation.members,
                      member);
}

std::vector<std::string> ReadinessLedger::NeverReady(
    const GroupFormation& formation) const {
  std::vector<std::string> missing;
  std::copy_if(formation.members.begin(), formation.members.end(),
               std::back_inserter(missing), [&](const std::string& member) {
                 return this->ready.count(Key{formation.group, formation.epoch,
                                              formation.members, member}) == 0;
               });
  return missing;
}

std::optional<GroupFormation> ReadinessLedger::NoteOpen(
    const GroupFormation& formation) {
  const GroupFormation& first =
      this->opened.emplace(formation.epoch, formation).first->second;
  return first.Tie() == formation.Tie() ? std::nullopt : std::optional(first);
}

}  // namespace kumquatcart::soak
