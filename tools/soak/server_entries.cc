#include "soak/server_entries.h"

namespace kumquatcart::soak {

void ServerEntries::Write(const std::string& id,
                          std::int64_t started_ms,
                          const std::string& value) {
  this->writers[id] = started_ms;
  this->put(id, value);
}

void ServerEntries::Lapse(const std::string& id, std::int64_t started_ms) {
  const auto writer = this->writers.find(id);
  if (writer == this->writers.end() || writer->second != started_ms) {
    return;
  }
  this->writers.erase(writer);
  this->put(id, std::nullopt);
}

bool ServerEntries::RemoveAgain(const std::string& id) {
  if (this->writers.count(id) > 0) {
    return false;
  }
  this->put(id, std::nullopt);
  return true;
}

}  // namespace kumquatcart::soak
