// Decides whether a request may be sent to a backend server now.
#ifndef ENTRY_SERVER_GATE_H_
#define ENTRY_SERVER_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/metrics.h"
#include "entry/permit_network.h"
#include "entry/server_limiter.h"
#include "routing/cluster_load.h"
#include "routing/server_backoff_table.h"

namespace kumquatcart {

// A request is held back while its server has a backoff towards this VM, and
// without a permit if the server has a rate limit. Backoffs concern this VM
// only; they are neither failures of the server nor sent to peers. Not thread
// safe: used on the event loop's thread.
class ServerGate {
 public:
  // `network`, `requests`, `limiter` and `metrics` must outlive this object.
  // `requests`: in progress. `opened`: requests that were held back may be
  // sent.
  ServerGate(PermitNetwork* network,
             const ClusterLoad* requests,
             ServerLimiter* limiter,
             MetricRegistry* metrics,
             std::uint32_t seed,
             std::function<void()> opened);

  // Whether requests of other VMs are held back as well, by a rate limit.
  bool IsLimited(const std::string& server) const {
    return this->limiter->IsLimited(server);
  }

  // Whether the server takes no requests from this VM for some time.
  bool HasBackoff(const std::string& server) const;

  // Whether any server may be restrained.
  bool HasRestraints() const { return this->backoffs.Size() > 0; }

  // Whether the server has a backoff, or has had one and has as many requests
  // of this VM as it may get so soon after.
  bool IsRestrained(const std::string& server) const;

  // Whether TryPass() would succeed. Takes nothing.
  bool IsOpen(const std::string& server);

  // Takes what a request that is sent now needs. `is_first_try`: of this
  // request. False if it is held back.
  bool TryPass(const std::string& server, bool is_first_try);

  // Time at which a request behind `ahead` others that wait here should pass;
  // none if that is not expected soon.
  std::optional<MonotonicTime> PassExpectedAt(const std::string& server,
                                              std::size_t ahead);

  // Estimated time until a request behind `ahead` others passes.
  Duration EstimateWait(const std::string& server, int ahead) const;

  // Retry-After for a request that is rejected because of the server. Each call
  // returns a later time, so that callers do not return together.
  Duration NextRetryAfter(const std::string& server);

  // Why requests to the server are held back, for logs.
  const char* HoldReason(const std::string& server) const;

  // Time until the first of the servers takes requests; zero if one does now.
  Duration ShortestBackoff(const std::set<std::string>& servers) const;

  // Processes the backoff that a rejection names. Precondition: `server` is the
  // latest start that is known, and `backoff` is above zero.
  void HandleBackoff(const ServerStart& server,
                     Duration backoff,
                     const std::string& request_id);
  // Logs a backoff that cannot be read, once for each server.
  void HandleUnreadableBackoff(const std::string& server,
                               const std::string& request_id);
  // Processes an answer that is no rejection.
  void HandleAccepted(const std::string& server);

  // Processes the start of a server. Ends the backoff of an earlier one.
  void HandleStart(const ServerStart& server);

  // Drops state that is no longer needed. `exists`: whether a server exists.
  void DropStale(const std::function<bool(const std::string&)>& exists);

  // Logs that a request was rejected because it is held back by the server.
  void LogRejection(const std::string& request_id,
                    const std::string& server,
                    Duration retry_after) const;

 private:
  double Draw();

  PermitNetwork* const network;
  const ClusterLoad* const requests;
  ServerLimiter* const limiter;
  MetricRegistry* const metrics;
  const std::function<void()> opened;
  std::minstd_rand generator;
  ServerBackoffTable backoffs;
  // End of the latest Retry-After for a backoff, by server.
  std::map<std::string, MonotonicTime> latest_returns;
  std::set<std::string> unreadable;  // Servers that were logged.
};

}  // namespace kumquatcart

#endif  // ENTRY_SERVER_GATE_H_
