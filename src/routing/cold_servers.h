// Backend servers that are slow for some time after a start.
#ifndef ROUTING_COLD_SERVERS_H_
#define ROUTING_COLD_SERVERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "model/backend_server.h"
#include "model/routing_config.h"

namespace kumquatcart {

// What the platform allows a cold server to receive from all entry VMs
// together: in any second at most the rate that its service states, times
// `factor`, and `extra` requests more.
struct ColdBound {
  double factor = 1;
  double extra = 0;

  auto Tie() const { return std::tie(this->factor, this->extra); }
};

// Requests per second that the entry VMs may send to a cold server together:
// at most `per_second`, and below the bound by what permits that are used late
// and VMs that reach no coordinator may add. 0 or more. Thread safe.
double SharedColdRate(double per_second, const ColdBound& bound);

// The part of `shared_rate` for one of `nodes` VMs while it reaches no
// coordinator. Precondition: `nodes` > 0. Thread safe.
double LoneColdRate(double shared_rate, int nodes);

// Longest time for which a server's own statement makes it cold: one that is
// wrong must not restrain the server for good.
constexpr Duration kMaxStatedColdTime = std::chrono::seconds(60);

// Which servers are cold, and until when. The time that a server's entry states
// counts from its receipt, so that no clocks are compared; this VM then treats
// it as cold no shorter than it is. Servers of a service that states no rate
// for cold servers are never cold. Not thread safe.
class ColdServers {
 public:
  explicit ColdServers(const ColdBound& bound) : bound(bound) {}

  // Adopts the rates and times of a new version of the configuration.
  void SetServices(const std::map<std::string, ServiceSpec>& services);

  // Records the entry of a server; one of an earlier start is ignored. Returns
  // whether the server was warm and is now cold.
  bool NoteEntry(const BackendServer& server, MonotonicTime now);

  // Records that a server receives requests again after a time in which it was
  // out of reach or was sent none: it may have become cold without this VM
  // having received that. It is treated as cold for the time that its service
  // states for a start. Returns whether it was warm and is now cold.
  bool NoteReturn(const std::string& server, MonotonicTime now);

  // Requests per second for all VMs together; none if the server is warm.
  std::optional<double> FindRate(const std::string& server,
                                 MonotonicTime now) const;

  // The time from which the server counts as warm; none if it does already.
  std::optional<MonotonicTime> FindEnd(const std::string& server,
                                       MonotonicTime now) const;

  // Number of cold servers.
  int Count(MonotonicTime now) const;

  // Drops what is known of servers that do not exist.
  void DropStale(const std::function<bool(const std::string&)>& exists);

 private:
  // What a service states of its cold servers.
  struct ColdService {
    Duration start_time{0};
    double per_second = 0;
  };
  struct ServerState {
    std::string service;
    std::int64_t started_ms = 0;
    MonotonicTime stated_end = MonotonicTime::min();
    std::optional<MonotonicTime> returned_at;
  };

  const ColdService* FindService(const ServerState& state) const;

  const ColdBound bound;
  std::map<std::string, ColdService> services;
  std::map<std::string, ServerState> servers;
};

}  // namespace kumquatcart

#endif  // ROUTING_COLD_SERVERS_H_
