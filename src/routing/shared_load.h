// Requests in progress at each backend server, as all entry VMs know them.
#ifndef ROUTING_SHARED_LOAD_H_
#define ROUTING_SHARED_LOAD_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Requests in progress by server id.
using InFlightCounts = std::map<std::string, int>;

// Sums this process's own requests and what the others last told. Not thread
// safe.
class SharedLoad {
 public:
  void Begin(const std::string& server) { ++this->own[server]; }
  void End(const std::string& server);

  // Replaces what `node` told before.
  void Report(const std::string& node,
              InFlightCounts counts,
              MonotonicTime now);

  // Drops what nodes told before `oldest`: their requests are unknown since.
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
