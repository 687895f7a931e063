#include "routing/route_table.h"

#include <algorithm>

#include "net/http_field_values.h"

namespace kumquatcart {

namespace {

bool HasLongerPrefix(const RouteRule* left, const RouteRule* right) {
  return left->path_prefix.size() > right->path_prefix.size();
}

bool StartsWith(const std::string& path, const std::string& prefix) {
  return path.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const RoutingConfig> config)
    : config(std::move(config)) {
  for (const RouteRule& route : this->config->routes) {
    this->by_host[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& entry : this->by_host) {
    std::stable_sort(entry.second.begin(), entry.second.end(), HasLongerPrefix);
  }
}

const RouteRule* RouteTable::Match(const std::string& host,
                                   const std::string& target) const {
  const auto routes = this->by_host.find(host);
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  const std::string path = target.substr(0, target.find('?'));
  for (const RouteRule* route : routes->second) {
    if (StartsWith(path, route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const KeyHolder* RouteTable::FindKeyHolder(const std::string& key) const {
  const auto found = this->config->holders.find(key);
  return found == this->config->holders.end() ? nullptr : &found->second;
}

const ServiceShare* RouteTable::PickService(const RouteRule& route,
                                            double draw) {
  double total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  double left = draw * total;
  for (const ServiceShare& share : route.services) {
    left -= share.weight;
    if (left < 0) {
      return &share;
    }
  }
  return route.services.empty() ? nullptr : &route.services.back();
}

}  // namespace kumquatcart
