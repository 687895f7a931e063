// What servers answer, so that callers can check it.
#ifndef SOAK_EXPECTED_ANSWER_H_
#define SOAK_EXPECTED_ANSWER_H_

#include <string>

namespace kumquatcart::soak {

// Events of every stream.
constexpr int kStreamEvents = 12;

// Body of a plain answer. Thread safe.
inline std::string ExpectedBody(const std::string& id) {
  return "answer to " + id;
}

// Data of one event, from 1 on. Thread safe.
inline std::string ExpectedEvent(const std::string& id, int event) {
  return id + " part " + std::to_string(event);
}

}  // namespace kumquatcart::soak

#endif  // SOAK_EXPECTED_ANSWER_H_
