// What the operator has published about routes, services and callers.
#ifndef MODEL_ROUTING_CONFIG_H_
#define MODEL_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"

namespace kumquatcart {

// How often a request may run.
enum class Repeatability {
  kAtMostOnce,  // May run once for each attempt of the caller.
  kIdempotent,  // May run again.
  kResumable,   // A stream that another server may continue.
};

// One of the services among which a route's requests are divided.
struct ServiceShare {
  std::string service;
  double weight = 1;

  auto Tie() const { return std::tie(this->service, this->weight); }
};

// A route: which requests it takes and how they are served.
struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  Repeatability repeatability = Repeatability::kAtMostOnce;
  bool streaming = false;  // The answer is a series of events.
  bool is_public = false;  // Needs no key.
  Duration timeout{0};     // Longest time that a request may take.
  Duration target_latency{0};
  Duration gap_target{0};  // Longest pause between events; zero: no target.
  int priority = 0;        // 0 is the most important.
  int attempts = 1;        // Servers that may run one request.
  // Regions whose servers may run its requests; empty: all.
  std::vector<std::string> regions;
  std::vector<ServiceShare> services;

  auto Tie() const {
    return std::tie(this->name, this->host, this->path_prefix,
                    this->repeatability, this->streaming, this->is_public,
                    this->timeout, this->target_latency, this->gap_target,
                    this->priority, this->attempts, this->regions,
                    this->services);
  }
};

// A model that a service's replica groups can serve.
struct ModelSpec {
  std::string name;
  int group_size = 1;
  double work_share = 0;  // Expected share of the service's work, 0 to 1.
  double pace = 1;        // Factor on every time of its groups.
  Duration load_time{0};  // From the weight store.
  Duration warm_time{0};  // From the VM's own memory.

  auto Tie() const {
    return std::tie(this->name, this->group_size, this->work_share, this->pace,
                    this->load_time, this->warm_time);
  }
};

// How a service's engines work.
struct EngineSpec {
  int slots = 1;  // Requests that one group runs at once.
  std::int64_t cache_tokens = 0;
  std::vector<ModelSpec> models;
  Duration step{0};              // One token step of an empty batch.
  Duration step_per_request{0};  // Added for each running request.
  double prompt_tokens_per_second = 0;
  int stride = 1;  // Token steps between two passes.
  double loads_per_second = 0;
  int loads_at_once = 1;
  Duration forming{0};  // From the order to open until requests are taken.
  // Longest one-way delay between two failure domains; zero where not given.
  Duration domain_delay{0};

  // Null where no model has that name.
  const ModelSpec* FindModel(const std::string& name) const {
    for (const ModelSpec& model : this->models) {
      if (model.name == name) {
        return &model;
      }
    }
    return nullptr;
  }

  auto Tie() const {
    return std::tie(this->slots, this->cache_tokens, this->models, this->step,
                    this->step_per_request, this->prompt_tokens_per_second,
                    this->stride, this->loads_per_second, this->loads_at_once,
                    this->forming, this->domain_delay);
  }
};

struct ServiceSpec {
  std::string name;
  int max_connections = 0;  // A server's, from all callers together.
  Duration cold_time{0};    // For which a server is slow after a start.
  // That such a server tolerates from all callers together; 0: not stated.
  double cold_requests_per_second = 0;
  std::optional<EngineSpec> engine;  // Services that serve models.

  auto Tie() const {
    return std::tie(this->name, this->max_connections, this->cold_time,
                    this->cold_requests_per_second, this->engine);
  }
};

// What a caller may send.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  auto Tie() const {
    return std::tie(this->header_bytes, this->body_bytes, this->header_timeout,
                    this->idle_timeout);
  }
};

// The organisation that a key belongs to.
struct KeyHolder {
  std::string organisation;
  std::optional<int> priority;  // Goes before the route's.
  // Regions whose servers may run its requests, beside the route's; empty: all.
  std::vector<std::string> regions;

  auto Tie() const {
    return std::tie(this->organisation, this->priority, this->regions);
  }
};

// One version of the operator's configuration. Immutable once shared.
struct RoutingConfig {
  std::int64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceSpec> services;
  CallerLimits limits;
  bool needs_keys = false;
  std::map<std::string, KeyHolder> holders;  // By key.

  auto Tie() const {
    return std::tie(this->version, this->routes, this->services, this->limits,
                    this->needs_keys, this->holders);
  }
};

}  // namespace kumquatcart

#endif  // MODEL_ROUTING_CONFIG_H_
