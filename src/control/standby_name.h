// Name of the single-member group in which a free server loads a standby model.
#ifndef CONTROL_STANDBY_NAME_H_
#define CONTROL_STANDBY_NAME_H_

#include <string>

namespace kumquatcart {

// A standby group has no record and is never opened. Thread safe.
inline std::string StandbyGroupName(const std::string& server) {
  return "standby." + server;
}

}  // namespace kumquatcart

#endif  // CONTROL_STANDBY_NAME_H_
