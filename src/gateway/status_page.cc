#include "gateway/status_page.h"

#include <algorithm>

#include "gateway/gateway_constants.h"

namespace kumquatcart {

namespace {

template <class Map>
Json ListValues(const Map& map) {
  Json list = Json::array();
  for (const auto& [key, value] : map) {
    list.push_back(value);
  }
  return list;
}

Json ListLeases(const LeaseTable& table, MonotonicTime now) {
  Json list = Json::array();
  for (const auto& [failure_domain, lease] : table.leases) {
    list.push_back({{"failure_domain", failure_domain},
                    {"holder", lease.holder},
                    {"fence", lease.fence},
                    {"remaining_ms", ToMillis(lease.expires_at - now)}});
  }
  return list;
}

Json ListVms(const VmTable& table) {
  Json list = Json::array();
  for (const auto& [id, vm] : table.vms) {
    list.push_back({{"id", id},
                    {"role", vm.role},
                    {"state", vm.state},
                    {"partner", vm.partner},
                    {"failure_domain", vm.failure_domain},
                    {"fabric_domain", vm.fabric_domain},
                    {"accelerators", vm.accelerators},
                    {"service", vm.service},
                    {"endpoint", vm.endpoint}});
  }
  return list;
}

Json ListAudit(const AuditTable& table) {
  const std::size_t shown = std::min(table.entries.size(), kStatusAuditEntries);
  Json list = Json::array();
  for (auto entry = table.entries.end() - static_cast<std::ptrdiff_t>(shown);
       entry != table.entries.end(); ++entry) {
    list.push_back(*entry);
  }
  return list;
}

}  // namespace

Json RenderStatus(const Board& board, const StatusFacts& facts) {
  return Json{{"node", board.identity},
              {"ready", facts.ready},
              {"config_offset", board.config.Read()->offset},
              {"members", ListValues(board.members.Read()->members)},
              {"groups", ListValues(board.groups.Read()->groups)},
              {"leases", ListLeases(*board.leases.Read(), facts.now)},
              {"vms", ListVms(*board.vms.Read())},
              {"audit", ListAudit(*board.audit.Read())},
              {"requests", facts.requests}};
}

}  // namespace kumquatcart
