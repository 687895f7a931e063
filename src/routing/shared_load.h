// Work in progress at each backend server, as all entry VMs know it.
#ifndef ROUTING_SHARED_LOAD_H_
#define ROUTING_SHARED_LOAD_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Work in progress by server id: requests, or prompt tokens that are not read.
using InFlightCounts = std::map<std::string, int>;

// Sums this process's own work and what the others last told. Not thread safe.
class SharedLoad {
 public:
  void Begin(const std::string& server, int amount = 1) {
    this->own[server] += amount;
  }
  void End(const std::string& server, int amount = 1);

  // Replaces what `node` told before.
  void Report(const std::string& node,
              InFlightCounts counts,
              MonotonicTime now);

  // Drops what nodes told before `oldest`: their work is unknown since.
  void Forget(MonotonicTime oldest);

  int Own(const std::string& server) const;
  int Total(const std::string& server) const;
  const InFlightCounts& OwnCounts() const { return this->own; }

 private:
  struct NodeReport {
    InFlightCounts counts;
    MonotonicTime at;
  };

  void Subtract(const InFlightCounts& counts);

  InFlightCounts own;
  InFlightCounts others;  // Sum over `reports`.
  std::map<std::string, NodeReport> reports;
};

}  // namespace kumquatcart

#endif  // ROUTING_SHARED_LOAD_H_
