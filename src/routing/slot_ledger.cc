#include "routing/slot_ledger.h"

#include <utility>

namespace kumquatcart {

namespace {

// Time for a grant to reach its node and to appear in a report of it.
constexpr Duration kGrantTransit = std::chrono::milliseconds(300);
// Slots of a node without a report for this time no longer count. Nodes report
// several times a second; the slots of a dead one are free after its servers
// have noticed the end of its connections.
constexpr Duration kNodeLifetime = std::chrono::milliseconds(1500);

}  // namespace

void SlotLedger::Adjust(const std::string& node,
                        const std::string& server,
                        int amount,
                        MonotonicTime now) {
  this->load->Adjust(node, this->failure_domain, server, amount,
                     now + kNodeLifetime);
}

void SlotLedger::Grant(const std::string& node,
                       std::int64_t id,
                       SlotLease lease) {
  NodeLeases& leases = this->nodes[node];
  if (leases.reported_at == MonotonicTime{}) {
    leases.reported_at = lease.granted_at;
  }
  const MonotonicTime now = lease.granted_at;
  const std::string server = lease.server;
  if (leases.by_id.emplace(id, std::move(lease)).second) {
    this->Adjust(node, server, 1, now);
  }
}

void SlotLedger::Return(const std::string& node,
                        std::int64_t id,
                        MonotonicTime now) {
  const auto leases = this->nodes.find(node);
  if (leases == this->nodes.end()) {
    return;
  }
  const auto lease = leases->second.by_id.find(id);
  if (lease == leases->second.by_id.end()) {
    return;
  }
  this->Adjust(node, lease->second.server, -1, now);
  leases->second.by_id.erase(lease);
}

const SlotLease* SlotLedger::Find(const std::string& node,
                                  std::int64_t id) const {
  const auto leases = this->nodes.find(node);
  if (leases == this->nodes.end()) {
    return nullptr;
  }
  const auto lease = leases->second.by_id.find(id);
  return lease == leases->second.by_id.end() ? nullptr : &lease->second;
}

void SlotLedger::AcceptReport(const std::string& node,
                              const std::map<std::int64_t, std::string>& held,
                              MonotonicTime now) {
  NodeLeases& leases = this->nodes[node];
  leases.reported_at = now;
  for (auto lease = leases.by_id.begin(); lease != leases.by_id.end();) {
    const bool is_ended = held.count(lease->first) == 0 &&
                          now - lease->second.granted_at >= kGrantTransit;
    lease = is_ended ? leases.by_id.erase(lease) : std::next(lease);
  }
  for (const auto& [id, server] : held) {
    leases.by_id.emplace(id, SlotLease{server, {}, 0, now});
  }
  InFlightCounts counts;
  for (const auto& entry : leases.by_id) {
    ++counts[entry.second.server];
  }
  this->load->ReportExactly(node, this->failure_domain, std::move(counts),
                            now + kNodeLifetime);
}

void SlotLedger::DropSilent(MonotonicTime now) {
  for (auto node = this->nodes.begin(); node != this->nodes.end();) {
    if (now - node->second.reported_at < kNodeLifetime) {
      ++node;
      continue;
    }
    this->load->ReportExactly(node->first, this->failure_domain, {}, now);
    node = this->nodes.erase(node);
  }
}

std::size_t SlotLedger::Size() const {
  std::size_t size = 0;
  for (const auto& entry : this->nodes) {
    size += entry.second.by_id.size();
  }
  return size;
}

}  // namespace kumquatcart
