#include "model/engine.h"

namespace kumquatcart {

std::ostream& operator<<(std::ostream& out, EngineState state) {
  return out << nlohmann::json(state).get<std::string>();
}

}  // namespace kumquatcart
