#include "model/request.h"

namespace kumquatcart {

const char* ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kCompleted:
      return "completed";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, RequestOutcome outcome) {
  return out << ToString(outcome);
}

}  // namespace kumquatcart
