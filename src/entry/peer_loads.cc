#include "entry/peer_loads.h"

#include <algorithm>
#include <utility>

namespace kumquatcart {

namespace {

// A node's counts are dropped once no digest has arrived for this time and for
// this number of digest intervals, since some digests may be lost in a row.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);
constexpr int kMaxLostDigests = 3;
// Reports of prompt tokens awaiting prefill expire after this: most are
// processed by then.
constexpr Duration kPrefillReportLifetime = std::chrono::milliseconds(400);
// The same for sums, since they were added up. They have passed through up to
// two collectors.
constexpr Duration kDomainLoadLifetime = std::chrono::milliseconds(1200);
constexpr Duration kDomainPrefillLifetime = std::chrono::milliseconds(600);
// Minimum time between two sums of all failure domains.
constexpr Duration kClusterLoadInterval = std::chrono::milliseconds(250);

}  // namespace

void PeerLoads::Report(bool is_collector,
                       MonotonicTime now,
                       NodeDigest* digest) {
  const ClusterLoad& requests = *this->counts.requests;
  const ClusterLoad& unread = *this->counts.unread;
  digest->in_flight = requests.LocalCounts();
  digest->unread = unread.LocalCounts();
  this->counts.requests->MarkReported();
  this->counts.unread->MarkReported();
  if (!is_collector) {
    return;
  }
  // A node that has just become a collector does not know all sums yet.
  if (!requests.HasClusterReport() &&
      now - this->cluster_load_sent_at >= kClusterLoadInterval) {
    this->cluster_load_sent_at = now;
    digest->cluster_load =
        ClusterLoadReport{requests.SumWithReports(), unread.SumWithReports()};
  }
  digest->domain_loads.push_back(
      {this->own_failure_domain, 0,
       requests.SumWithNodesOf(this->own_failure_domain),
       unread.SumWithNodesOf(this->own_failure_domain)});
  for (const auto& [domain, report] : requests.DomainReports()) {
    if (domain == this->own_failure_domain) {
      continue;
    }
    DomainLoad forwarded{domain,
                         static_cast<int>(ToMillis(now - report.summed_at)),
                         report.counts,
                         {}};
    const auto prompts = unread.DomainReports().find(domain);
    if (prompts != unread.DomainReports().end()) {
      forwarded.unread = prompts->second.counts;
    }
    digest->domain_loads.push_back(std::move(forwarded));
  }
}

void PeerLoads::Accept(const NodeDigest& digest,
                       bool is_collector,
                       MonotonicTime now) {
  const Duration interval = std::chrono::milliseconds(digest.interval_ms);
  this->counts.requests->Report(
      digest.node, digest.failure_domain, digest.in_flight,
      now + std::max(kReportLifetime, kMaxLostDigests * interval));
  this->counts.unread->Report(digest.node, digest.failure_domain, digest.unread,
                              now + kPrefillReportLifetime);
  if (digest.cluster_load && !is_collector) {
    this->counts.requests->ReportCluster(digest.cluster_load->in_flight, now,
                                         now + kDomainLoadLifetime);
    this->counts.unread->ReportCluster(digest.cluster_load->unread, now,
                                       now + kDomainPrefillLifetime);
  }
  for (const DomainLoad& sum : digest.domain_loads) {
    const bool is_own = sum.failure_domain == this->own_failure_domain;
    if (!is_own || !is_collector) {
      this->AcceptSum(sum, is_own, now);
    }
  }
}

void PeerLoads::AcceptSum(const DomainLoad& sum,
                          bool is_own,
                          MonotonicTime now) {
  const MonotonicTime summed_at =
      now - std::chrono::milliseconds(std::max(sum.age_ms, 0));
  this->counts.requests->ReportDomain(sum.failure_domain, sum.in_flight, is_own,
                                      summed_at,
                                      summed_at + kDomainLoadLifetime, now);
  this->counts.unread->ReportDomain(sum.failure_domain, sum.unread, is_own,
                                    summed_at,
                                    summed_at + kDomainPrefillLifetime, now);
}

}  // namespace kumquatcart
