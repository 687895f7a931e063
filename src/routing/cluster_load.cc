#include "routing/cluster_load.h"

#include <algorithm>
#include <utility>

namespace kumquatcart {

namespace {

int CountOf(const InFlightCounts& counts, const std::string& server) {
  const auto found = counts.find(server);
  return found == counts.end() ? 0 : found->second;
}

void Increase(InFlightCounts* counts, const InFlightCounts& by) {
  for (const auto& [server, count] : by) {
    (*counts)[server] += count;
  }
}

// Removes counts of zero and below.
void Decrease(InFlightCounts* counts, const std::string& server, int by) {
  const auto found = counts->find(server);
  if (found == counts->end()) {
    return;
  }
  found->second -= by;
  if (found->second <= 0) {
    counts->erase(found);
  }
}

void Change(InFlightCounts* counts, const std::string& server, int by) {
  counts->emplace(server, 0);
  Decrease(counts, server, -by);
}

}  // namespace

void ClusterLoad::End(const std::string& server, int amount) {
  Decrease(&this->local_counts, server, amount);
}

void ClusterLoad::Add(const InFlightCounts& counts) {
  Increase(&this->remote_counts, counts);
}

void ClusterLoad::Subtract(const InFlightCounts& counts) {
  for (const auto& [server, count] : counts) {
    Decrease(&this->remote_counts, server, count);
  }
}

void ClusterLoad::Report(const std::string& node,
                         const std::string& failure_domain,
                         InFlightCounts counts,
                         MonotonicTime expires_at) {
  const auto known = this->reports.find(node);
  if (known == this->reports.end() || !known->second.is_exact) {
    this->Replace(node, {failure_domain, std::move(counts), expires_at});
  }
}

void ClusterLoad::ReportExactly(const std::string& node,
                                const std::string& failure_domain,
                                InFlightCounts counts,
                                MonotonicTime expires_at) {
  this->Replace(node, {failure_domain, std::move(counts), expires_at,
                       /*is_exact=*/true});
}

void ClusterLoad::Replace(const std::string& node, NodeReport report) {
  NodeReport& known = this->reports[node];
  if (this->Counts(known)) {
    this->Subtract(known.counts);
  }
  known = std::move(report);
  if (this->Counts(known)) {
    this->Add(known.counts);
  }
}

void ClusterLoad::Adjust(const std::string& node,
                         const std::string& failure_domain,
                         const std::string& server,
                         int amount,
                         MonotonicTime expires_at) {
  NodeReport& report = this->reports[node];
  report.failure_domain = failure_domain;
  report.expires_at = std::max(report.expires_at, expires_at);
  const int before = CountOf(report.counts, server);
  Change(&report.counts, server, amount);
  if (this->Counts(report)) {
    Change(&this->remote_counts, server,
           CountOf(report.counts, server) - before);
  }
}

void ClusterLoad::ReportDomain(const std::string& failure_domain,
                               InFlightCounts counts,
                               bool includes_local,
                               MonotonicTime summed_at,
                               MonotonicTime expires_at,
                               MonotonicTime now) {
  if (expires_at < now) {
    return;
  }
  const auto known = this->domain_reports.find(failure_domain);
  if (known != this->domain_reports.end()) {
    if (summed_at <= known->second.summed_at) {
      return;
    }
    this->Subtract(known->second.counts);
  } else {
    for (const auto& entry : this->reports) {
      if (entry.second.failure_domain == failure_domain) {
        this->Subtract(entry.second.counts);
      }
    }
  }
  if (includes_local) {
    for (const auto& [server, count] : this->reported_counts) {
      Decrease(&counts, server, count);
    }
  }
  this->Add(counts);
  this->domain_reports[failure_domain] =
      DomainReport{std::move(counts), summed_at, expires_at};
}

void ClusterLoad::ReportCluster(InFlightCounts counts,
                                MonotonicTime summed_at,
                                MonotonicTime expires_at) {
  if (this->cluster_report && summed_at <= this->cluster_report->summed_at) {
    return;
  }
  for (const auto& [server, count] : this->reported_counts) {
    Decrease(&counts, server, count);
  }
  this->cluster_report = DomainReport{std::move(counts), summed_at, expires_at};
}

void ClusterLoad::DropExpired(MonotonicTime now) {
  if (this->cluster_report && this->cluster_report->expires_at < now) {
    this->cluster_report.reset();
  }
  for (auto entry = this->reports.begin(); entry != this->reports.end();) {
    if (entry->second.expires_at >= now) {
      ++entry;
      continue;
    }
    if (this->Counts(entry->second)) {
      this->Subtract(entry->second.counts);
    }
    entry = this->reports.erase(entry);
  }
  for (auto domain = this->domain_reports.begin();
       domain != this->domain_reports.end();) {
    if (domain->second.expires_at >= now) {
      ++domain;
      continue;
    }
    this->Subtract(domain->second.counts);
    for (const auto& entry : this->reports) {
      if (entry.second.failure_domain == domain->first) {
        this->Add(entry.second.counts);
      }
    }
    domain = this->domain_reports.erase(domain);
  }
}

int ClusterLoad::LocalCount(const std::string& server) const {
  return CountOf(this->local_counts, server);
}

int ClusterLoad::Total(const std::string& server) const {
  return CountOf(this->local_counts, server) +
         CountOf(this->cluster_report ? this->cluster_report->counts
                                      : this->remote_counts,
                 server);
}

InFlightCounts ClusterLoad::SumWithReports() const {
  InFlightCounts sum = this->local_counts;
  Increase(&sum, this->remote_counts);
  return sum;
}

InFlightCounts ClusterLoad::SumWithNodesOf(
    const std::string& failure_domain) const {
  InFlightCounts sum = this->local_counts;
  for (const auto& entry : this->reports) {
    if (entry.second.failure_domain == failure_domain) {
      Increase(&sum, entry.second.counts);
    }
  }
  return sum;
}

}  // namespace kumquatcart
