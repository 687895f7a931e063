#include "routing/config_check.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <fmt/format.h>

#include "net/http_field_values.h"
#include "routing/route_table.h"

namespace kumquatcart {

namespace {

class ConfigCheck {
 public:
  explicit ConfigCheck(const RoutingConfig& config)
      : config(config), table(std::make_shared<const RoutingConfig>(config)) {}

  std::vector<ConfigFinding> Run() {
    for (const RouteRule& route : this->table.Config().routes) {
      this->path = "routes/" + route.name;
      this->CheckMatch(route);
      this->CheckServices(route);
      this->CheckLimits(route);
    }
    for (const auto& [name, service] : this->config.services) {
      this->path = "services/" + name;
      this->CheckService(service);
    }
    this->path = "limits";
    this->CheckCallerLimits();
    return std::move(this->findings);
  }

 private:
  void Add(FindingKind kind, std::string text) {
    this->findings.push_back({kind, this->path, std::move(text)});
  }

  void CheckMatch(const RouteRule& route) {
    if (!this->names.insert(route.name).second) {
      this->Add(FindingKind::kError, "another route has the same name");
    }
    const bool has_slashes = !route.path_prefix.empty() &&
                             route.path_prefix.front() == '/' &&
                             route.path_prefix.back() == '/';
    if (!has_slashes) {
      this->Add(FindingKind::kError,
                "the path prefix does not begin and end with a slash");
    }
    const RouteRule* matched =
        this->table.Match(NormalizeHost(route.host), route.path_prefix);
    if (matched != nullptr && matched != &route) {
      this->Add(FindingKind::kUnused,
                "route " + matched->name + " takes all its requests");
    } else if (matched == nullptr) {
      this->Add(FindingKind::kUnused, "no path can match its prefix");
    }
    if (!route.is_public && this->config.needs_keys &&
        this->config.holders.empty()) {
      this->Add(FindingKind::kUnused,
                "it needs an API key, but no organisation has one");
    }
  }

  void CheckServices(const RouteRule& route) {
    for (const ServiceShare& share : route.services) {
      if (this->config.services.count(share.service) == 0) {
        this->Add(FindingKind::kError, "there is no service " + share.service);
      }
      if (!(share.weight > 0) && route.services.size() > 1) {
        this->Add(FindingKind::kUnused,
                  "service " + share.service + " gets no part of its requests");
      }
    }
  }

  void CheckLimits(const RouteRule& route) {
    if (route.timeout <= Duration{0}) {
      this->Add(FindingKind::kError, "it has no timeout");
    } else if (route.target_latency > route.timeout) {
      this->Add(FindingKind::kContradicts,
                "the latency target is longer than the timeout");
    } else if (route.gap_target > route.timeout) {
      this->Add(FindingKind::kContradicts,
                "the target for pauses is longer than the timeout");
    }
    if (route.attempts < 1) {
      this->Add(FindingKind::kError, "it allows no attempt");
    } else if (route.attempts > 1 &&
               route.repeatability == Repeatability::kAtMostOnce) {
      this->Add(FindingKind::kContradicts,
                "it allows more than one attempt for requests that may run "
                "once");
    }
    if (route.priority < 0) {
      this->Add(FindingKind::kError, "the priority is below zero");
    }
    if (route.gap_target > Duration{0} && !route.streaming) {
      this->Add(FindingKind::kContradicts,
                "it has a target for pauses, but its answers have no events");
    }
  }

  void CheckService(const ServiceSpec& service) {
    const bool is_used = std::any_of(
        this->config.routes.begin(), this->config.routes.end(),
        [&service](const RouteRule& route) {
          return std::any_of(route.services.begin(), route.services.end(),
                             [&service](const ServiceShare& share) {
                               return share.service == service.name;
                             });
        });
    if (!is_used) {
      this->Add(FindingKind::kUnused, "no route uses it");
    }
    if (!service.engine) {
      return;
    }
    if (service.engine->slots < 1) {
      this->Add(FindingKind::kError, "its engines have no slots");
    }
    constexpr double kRounding = 0.001;
    double shares = 0;
    for (const ModelSpec& model : service.engine->models) {
      shares += model.work_share;
      if (model.group_size < 1) {
        this->Add(FindingKind::kError,
                  "groups of model " + model.name + " have no servers");
      }
    }
    if (shares > 1 + kRounding) {
      this->Add(
          FindingKind::kContradicts,
          fmt::format("the shares of its models add up to {:.2f}", shares));
    }
  }

  void CheckCallerLimits() {
    const CallerLimits& limits = this->config.limits;
    if (limits.header_bytes == 0) {
      this->Add(FindingKind::kError, "no request head fits");
    }
    if (limits.header_timeout <= Duration{0} ||
        limits.idle_timeout <= Duration{0}) {
      this->Add(FindingKind::kError, "callers have no time to send a request");
    }
  }

  const RoutingConfig& config;
  const RouteTable table;
  std::set<std::string> names;
  std::string path;  // Of the entry being checked.
  std::vector<ConfigFinding> findings;
};

// Adds a line for each key of the maps whose values differ.
template <class Value>
void DescribeMaps(const std::string& kind,
                  const std::map<std::string, Value>& before,
                  const std::map<std::string, Value>& after,
                  std::vector<std::string>* lines) {
  for (const auto& [name, value] : before) {
    if (after.count(name) == 0) {
      lines->push_back(fmt::format("removed {}/{}", kind, name));
    }
  }
  for (const auto& [name, value] : after) {
    const auto former = before.find(name);
    if (former == before.end()) {
      lines->push_back(fmt::format("added {}/{}", kind, name));
    } else if (former->second != value) {
      lines->push_back(fmt::format("changed {}/{}", kind, name));
    }
  }
}

std::map<std::string, RouteRule> RoutesByName(const RoutingConfig& config) {
  std::map<std::string, RouteRule> routes;
  for (const RouteRule& route : config.routes) {
    routes.emplace(route.name, route);
  }
  return routes;
}

using Holders = std::map<std::string, KeyHolder>;

// The keys of each organisation with their holder.
std::map<std::string, Holders> OrganisationsOf(const RoutingConfig& config) {
  std::map<std::string, Holders> organisations;
  for (const auto& [key, holder] : config.holders) {
    organisations[holder.organisation].emplace(key, holder);
  }
  return organisations;
}

}  // namespace

const char* ToString(FindingKind kind) {
  constexpr const char* kNames[] = {"error", "unused", "contradicts"};
  return kNames[static_cast<int>(kind)];
}

std::vector<ConfigFinding> CheckRoutingConfig(const RoutingConfig& config) {
  return ConfigCheck(config).Run();
}

std::vector<std::string> DescribeDifferences(const RoutingConfig& before,
                                             const RoutingConfig& after) {
  std::vector<std::string> lines;
  if (after.version <= before.version) {
    lines.push_back(fmt::format("version {} is not above {}, so it is ignored",
                                after.version, before.version));
  }
  DescribeMaps("routes", RoutesByName(before), RoutesByName(after), &lines);
  DescribeMaps("services", before.services, after.services, &lines);
  DescribeMaps("organisations", OrganisationsOf(before), OrganisationsOf(after),
               &lines);
  if (before.limits != after.limits) {
    lines.emplace_back("changed limits");
  }
  return lines;
}

}  // namespace kumquatcart
