// The servers' entries in the store.
#ifndef SOAK_SERVER_ENTRIES_H_
#define SOAK_SERVER_ENTRIES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace kumquatcart::soak {

// Keeps which start of a server wrote an entry last, so that the end of one
// start does not remove the entry of the next one under the same id. The soak's
// one thread uses it.
class ServerEntries {
 public:
  // Writes to the store; no value drops the key.
  using Put = std::function<void(const std::string& id,
                                 const std::optional<std::string>& value)>;

  explicit ServerEntries(Put put) : put(std::move(put)) {}

  // `started_ms`: Unix time of the server's start.
  void Write(const std::string& id,
             std::int64_t started_ms,
             const std::string& value);

  // Removes the entry, unless another start has written it since or it is gone.
  void Lapse(const std::string& id, std::int64_t started_ms);

  // Removes an entry that is to be gone, after the store lost its removal.
  // Returns whether it is.
  bool RemoveAgain(const std::string& id);

 private:
  const Put put;
  std::map<std::string, std::int64_t> writers;  // By server id.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SERVER_ENTRIES_H_
