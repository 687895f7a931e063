// Rate limits that backend servers set for all entry VMs together.
#ifndef ENTRY_SERVER_LIMITER_H_
#define ENTRY_SERVER_LIMITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/log_limiter.h"
#include "base/metrics.h"
#include "entry/permit_coordinator.h"
#include "entry/permit_network.h"
#include "routing/cold_servers.h"
#include "routing/permit_schedule.h"
#include "routing/permit_stock.h"
#include "routing/server_limit_table.h"

namespace kumquatcart {

// Allows a request to be sent to a limited server only with a permit. For each
// server one node, its coordinator, hands out permits at the server's rate; the
// others request them from it when they have requests for the server. A node
// that gets no reply uses the part of the rate that it would have if it were
// divided equally.
//
// A cold server is a limited one, at the lower of its own limit and the rate
// for cold servers. A node without a reply then uses a smaller part, as the
// bound on cold servers holds for any second. Not thread safe: used on the
// event loop's thread.
class ServerLimiter {
 public:
  struct Listeners {
    // A permit has become usable, or a limit has ended.
    std::function<void()> permits_changed;
    // A limit has changed and peers should receive it soon.
    std::function<void()> limits_changed;
  };

  // `network` and `metrics` must outlive this object.
  ServerLimiter(std::string node,
                PermitNetwork* network,
                MetricRegistry* metrics,
                std::uint32_t seed,
                const ColdBound& cold_bound,
                Listeners listeners);

  // Whether the server has a limit or is cold.
  bool IsLimited(const std::string& server) const {
    return this->FindRate(server).has_value();
  }

  // Whether a request may be sent to the server now.
  bool HasPermit(const std::string& server);

  // Takes a permit for a request that is sent now. False if there is none;
  // servers without a limit need none.
  bool TryTake(const std::string& server);

  // Notes that a request is meant for the server, and requests permits if too
  // few are left.
  void NoteDemand(const std::string& server);

  // Requests permits if too few are left, for requests that were noted before.
  void Refill(const std::string& server);

  // Time at which a request behind `ahead` others that wait here should have a
  // permit; none if none is expected soon.
  std::optional<MonotonicTime> PermitExpectedAt(const std::string& server,
                                                std::size_t ahead);

  // Estimated time until a request behind `ahead` others has a permit.
  Duration EstimateWait(const std::string& server, int ahead) const;

  // Retry-After for a rejected request. Each call returns a later time, at the
  // rate of this node's share, so that callers do not return together.
  Duration NextRetryAfter(const std::string& server);

  // Processes the limit that an answer names, or that it names none.
  // `sent_under_limit`: the request was sent while the limit was known.
  void NoteAnswer(const std::string& server,
                  std::optional<double> per_second,
                  bool sent_under_limit,
                  const std::string& request_id);

  // Processes the Unix time at which a server started, 0 if unknown. Ends its
  // limit if that applies to an earlier start.
  void HandleStart(const std::string& server, std::int64_t started_ms);

  // Adopts what the services of a configuration state of cold servers.
  void SetServices(const std::map<std::string, ServiceSpec>& services);

  // Processes the entry of a server, including its start and what it states of
  // being cold.
  void HandleEntry(const BackendServer& server);

  // Processes that a server receives requests again after a time in which it
  // was out of reach or was sent none: it may be cold.
  void HandleReturn(const std::string& server);

  // Limits for the digest of this node.
  std::vector<ServerLimit> NextReport();

  // Processes limits and messages of the peer `node`.
  void MergeReport(const std::string& node,
                   const std::vector<ServerLimit>& limits);
  void HandleMessage(const PermitMessage& message);

  // Drops state that is no longer needed. `exists`: whether a server exists.
  void DropStale(const std::function<bool(const std::string&)>& exists);

  // Logs that a request was rejected because of the server's limit.
  void LogRejection(const std::string& request_id,
                    const std::string& server,
                    Duration retry_after) const;

 private:
  // This node's use of one limited server.
  struct ServerUse {
    PermitStock stock;
    std::deque<MonotonicTime> demand;  // Recent requests meant for it.
    std::int64_t pending_request = 0;  // Sequence; 0: none.
    MonotonicTime requested_at;
    int missed_replies = 0;        // In a row.
    MonotonicTime request_after;   // The coordinator has no permit before.
    MonotonicTime next_permit_at;  // Estimate.
    std::string coordinator;
    double share = 0;  // Permits per second; 0: unknown.
    MonotonicTime share_at;
    MonotonicTime latest_return;  // End of the latest Retry-After.
  };

  // The rate for all nodes together; none if there is no limit.
  std::optional<PermitRate> FindRate(const std::string& server) const;
  // When this node received the limit; the current time for a cold server.
  MonotonicTime RateReceivedAt(const std::string& server) const;
  bool IsCold(const std::string& server) const;
  // Whether the offer of a coordinator keeps to the rate for cold servers. One
  // that does not know that the server is cold may offer more.
  bool IsUsable(const PermitReply& reply, const ServerUse& use) const;
  void HandleCold(const std::string& server, const char* source);
  void HandleColdEnd(const std::string& server);

  double Draw();
  // Number of permits to request; 0 or less if enough are left.
  int Shortage(ServerUse* use, MonotonicTime now) const;
  void RequestPermits(const std::string& server, ServerUse* use);
  void HandleMissedReply(const std::string& server, std::int64_t sequence);
  // Permits that this node hands out as the coordinator.
  PermitReply Allocate(const PermitRequest& request);
  void Accept(const std::string& server,
              ServerUse* use,
              const PermitOffer& offer);
  void HandleRequest(const PermitRequest& request);
  void HandleReply(const PermitReply& reply);
  void SetShare(const std::string& server, ServerUse* use, double share);
  void HandleChange(const std::string& server,
                    const char* source,
                    const std::string& origin);
  void CountPermits(const char* outcome, int count = 1);

  const std::string node;
  PermitNetwork* const network;
  MetricRegistry* const metrics;
  const Listeners listeners;
  std::minstd_rand generator;
  ServerLimitTable limits;
  ColdServers cold_servers;
  LogLimiter cold_lines;
  LogLimiter warm_lines;
  std::map<std::string, ServerUse> uses;
  PermitCoordinator coordinator;  // For the servers that this node coordinates.
  PermitSchedule own_schedule;    // For this node without a coordinator.
  std::int64_t last_sequence = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_SERVER_LIMITER_H_
