// Work in flight at each backend server, summed over all entry VMs.
#ifndef ROUTING_CLUSTER_LOAD_H_
#define ROUTING_CLUSTER_LOAD_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Work in flight by server id: requests, or prompt tokens awaiting prefill.
using InFlightCounts = std::map<std::string, int>;

// Sums the work of this process and the latest reports of other nodes. Not
// thread safe.
class ClusterLoad {
 public:
  void Begin(const std::string& server, int amount = 1) {
    this->local_counts[server] += amount;
  }
  void End(const std::string& server, int amount = 1);

  // Replaces the previous report of `node`.
  void Report(const std::string& node,
              InFlightCounts counts,
              MonotonicTime now);

  // Drops reports received before `oldest`, which no longer describe the work
  // of their nodes.
  void DropReportsBefore(MonotonicTime oldest);

  // Work of this process at `server`.
  int LocalCount(const std::string& server) const;

  // Work of this process and all reporting nodes at `server`.
  int Total(const std::string& server) const;

  const InFlightCounts& LocalCounts() const { return this->local_counts; }

 private:
  struct NodeReport {
    InFlightCounts counts;
    MonotonicTime at;
  };

  void Subtract(const InFlightCounts& counts);

  InFlightCounts local_counts;
  InFlightCounts remote_counts;  // Sum over `reports`.
  std::map<std::string, NodeReport> reports;
};

}  // namespace kumquatcart

#endif  // ROUTING_CLUSTER_LOAD_H_
