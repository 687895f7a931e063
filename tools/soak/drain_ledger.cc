#include "soak/drain_ledger.h"

#include <fmt/format.h>

namespace kumquatcart::soak {

void DrainLedger::NoteStart(const std::string& entry) {
  for (auto it = this->received.begin(); it != this->received.end();) {
    it = it->first.first == entry ? this->received.erase(it) : std::next(it);
  }
}

void DrainLedger::NoteInTouch(const std::string& entry, MonotonicTime since) {
  for (const auto& [server, held] : this->held_since) {
    if (held <= since) {
      this->received.emplace(std::pair(entry, server), held);
    }
  }
}

void DrainLedger::NoteRequest(const std::string& server,
                              const std::string& entry,
                              const std::string& request_id,
                              MonotonicTime now) {
  const auto found = this->received.find({entry, server});
  if (found != this->received.end()) {
    this->accusations.push_back(fmt::format(
        "{} got {} through {}, {} ms after the store had its report that it "
        "leaves",
        server, request_id, entry, ToMillis(now - found->second)));
  }
}

}  // namespace kumquatcart::soak
