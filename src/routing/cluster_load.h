// Work in flight at each backend server, summed over all entry VMs.
#ifndef ROUTING_CLUSTER_LOAD_H_
#define ROUTING_CLUSTER_LOAD_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Work in flight by server id: requests, or prompt tokens awaiting prefill.
using InFlightCounts = std::map<std::string, int>;

// Sums the work of this process and the latest reports of other nodes. A report
// on a whole failure domain, which is newer than those of its nodes, replaces
// them while it lasts. Not thread safe.
class ClusterLoad {
 public:
  void Begin(const std::string& server, int amount = 1) {
    this->local_counts[server] += amount;
  }
  void End(const std::string& server, int amount = 1);

  // Replaces the previous report of `node`. It counts until `expires_at`.
  void Report(const std::string& node,
              const std::string& failure_domain,
              InFlightCounts counts,
              MonotonicTime expires_at);

  // As Report(), from a node whose changes arrive one by one: until
  // `expires_at`, Report() does not replace it.
  void ReportExactly(const std::string& node,
                     const std::string& failure_domain,
                     InFlightCounts counts,
                     MonotonicTime expires_at);

  // Adds `amount`, which may be negative, to the report of `node`, which then
  // counts until `expires_at` at least.
  void Adjust(const std::string& node,
              const std::string& failure_domain,
              const std::string& server,
              int amount,
              MonotonicTime expires_at);

  // Remembers the work of this process as reported to other nodes.
  void MarkReported() { this->reported_counts = this->local_counts; }

  // Replaces the previous report on all nodes of `failure_domain`, unless that
  // was summed later or this one has expired: peers forward reports, and might
  // return an expired one for ever. It counts until `expires_at`.
  // `includes_local`: whether the work of this process, as reported last, is
  // part of it.
  void ReportDomain(const std::string& failure_domain,
                    InFlightCounts counts,
                    bool includes_local,
                    MonotonicTime summed_at,
                    MonotonicTime expires_at,
                    MonotonicTime now);

  // Replaces the previous report on all nodes, this process included with its
  // work as reported last, unless that was summed later. While it lasts, no
  // other report counts.
  void ReportCluster(InFlightCounts counts,
                     MonotonicTime summed_at,
                     MonotonicTime expires_at);

  // Whether a report on all nodes is in use.
  bool HasClusterReport() const { return this->cluster_report.has_value(); }

  // Drops expired reports, which no longer describe the work of their nodes.
  void DropExpired(MonotonicTime now);

  // Work of this process at `server`.
  int LocalCount(const std::string& server) const;

  // Work of this process and all reporting nodes at `server`.
  int Total(const std::string& server) const;

  const InFlightCounts& LocalCounts() const { return this->local_counts; }

  // Work of this process and of all reporting nodes and failure domains.
  InFlightCounts SumWithReports() const;

  // Work of this process and the reporting nodes of `failure_domain`.
  InFlightCounts SumWithNodesOf(const std::string& failure_domain) const;

  // Reports on many nodes, with the time at which each was summed.
  struct DomainReport {
    InFlightCounts counts;
    MonotonicTime summed_at;
    MonotonicTime expires_at;
  };
  const std::map<std::string, DomainReport>& DomainReports() const {
    return this->domain_reports;
  }

 private:
  struct NodeReport {
    std::string failure_domain;
    InFlightCounts counts;
    MonotonicTime expires_at;
    bool is_exact = false;
  };

  void Replace(const std::string& node, NodeReport report);
  bool Counts(const NodeReport& report) const {
    return this->domain_reports.count(report.failure_domain) == 0;
  }
  void Add(const InFlightCounts& counts);
  void Subtract(const InFlightCounts& counts);

  InFlightCounts local_counts;
  InFlightCounts reported_counts;  // By MarkReported().
  // Sum over `domain_reports` and the reports of nodes of other domains.
  InFlightCounts remote_counts;
  std::map<std::string, NodeReport> reports;
  std::map<std::string, DomainReport> domain_reports;
  std::optional<DomainReport> cluster_report;
};

}  // namespace kumquatcart

#endif  // ROUTING_CLUSTER_LOAD_H_
