// Name of the group of one that holds a free server's standby model.
#ifndef CONTROL_STANDBY_NAME_H_
#define CONTROL_STANDBY_NAME_H_

#include <string>

namespace kumquatcart {

// Such a group has no record and is never opened. Thread safe.
inline std::string StandbyName(const std::string& server) {
  return "standby." + server;
}

}  // namespace kumquatcart

#endif  // CONTROL_STANDBY_NAME_H_
