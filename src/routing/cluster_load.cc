#include "routing/cluster_load.h"

namespace kumquatcart {

namespace {

int CountOf(const InFlightCounts& counts, const std::string& server) {
  const auto found = counts.find(server);
  return found == counts.end() ? 0 : found->second;
}

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

}  // namespace

void ClusterLoad::End(const std::string& server, int amount) {
  Decrease(&this->local_counts, server, amount);
}

void ClusterLoad::Subtract(const InFlightCounts& counts) {
  for (const auto& [server, count] : counts) {
    Decrease(&this->remote_counts, server, count);
  }
}

void ClusterLoad::Report(const std::string& node,
                         InFlightCounts counts,
                         MonotonicTime now) {
  NodeReport& report = this->reports[node];
  this->Subtract(report.counts);
  for (const auto& [server, count] : counts) {
    this->remote_counts[server] += count;
  }
  report = NodeReport{std::move(counts), now};
}

void ClusterLoad::DropReportsBefore(MonotonicTime oldest) {
  for (auto entry = this->reports.begin(); entry != this->reports.end();) {
    if (entry->second.at < oldest) {
      this->Subtract(entry->second.counts);
      entry = this->reports.erase(entry);
    } else {
      ++entry;
    }
  }
}

int ClusterLoad::LocalCount(const std::string& server) const {
  return CountOf(this->local_counts, server);
}

int ClusterLoad::Total(const std::string& server) const {
  return CountOf(this->local_counts, server) +
         CountOf(this->remote_counts, server);
}

}  // namespace kumquatcart
