#include "entry/server_limiter.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "routing/expiring_times.h"

namespace kumquatcart {

namespace {

// Requests meant for a server within this window determine how many permits a
// node requests: about as many as it sends until the next reply arrives.
constexpr Duration kDemandWindow = std::chrono::milliseconds(300);
constexpr int kMaxWanted = 32;
// Time within which a coordinator replies: several round trips.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);
// Usual time until the reply, for requests that consider waiting for it.
constexpr Duration kUsualReplyTime = std::chrono::milliseconds(50);
// Replies missed in a row until a node uses its own part of the rate. A single
// one is more often a lost datagram.
constexpr int kMaxMissedReplies = 2;
// Pause between requests while the coordinator has no permit.
constexpr Duration kMinRequestPause = std::chrono::milliseconds(50);
constexpr Duration kMaxRequestPause = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
// Limits per digest, so that it fits into a datagram.
constexpr std::size_t kMaxReportedLimits = 64;
// Limits of servers that are gone, and ended limits, are kept for this time: a
// peer that was cut off may still report them.
constexpr Duration kStaleLifetime = std::chrono::seconds(60);
// Change of a limit or share, relative to the former one, that is reported or
// logged at once.
constexpr double kSignificantChange = 0.2;

// All servers of a failure domain may become cold together.
constexpr Duration kColdLogInterval = std::chrono::seconds(1);
// Part of the interval of a rate that an offer's interval may lack by rounding.
constexpr double kIntervalRounding = 0.01;
// In seconds. Messages hold no longer ones.
constexpr double kLongestCheckedInterval = 30;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool DiffersSignificantly(double left, double right) {
  return std::abs(left - right) > kSignificantChange * std::max(left, right);
}

}  // namespace

ServerLimiter::ServerLimiter(std::string node,
                             PermitNetwork* network,
                             MetricRegistry* metrics,
                             std::uint32_t seed,
                             const ColdBound& cold_bound,
                             Listeners listeners)
    : node(std::move(node)),
      network(network),
      metrics(metrics),
      listeners(std::move(listeners)),
      generator(seed),
      cold_servers(cold_bound),
      cold_lines(kColdLogInterval),
      warm_lines(kColdLogInterval),
      coordinator(this->node, network, [this] { return this->Draw(); }),
      own_schedule([this] { return this->Draw(); }) {}

bool ServerLimiter::IsCold(const std::string& server) const {
  return this->cold_servers.FindEnd(server, this->network->Now()).has_value();
}

std::optional<PermitRate> ServerLimiter::FindRate(
    const std::string& server) const {
  const KnownServerLimit* known = this->limits.FindLimit(server);
  const std::optional<double> cold_rate =
      this->cold_servers.FindRate(server, this->network->Now());
  if (known == nullptr) {
    return cold_rate ? std::optional(PermitRate{*cold_rate, true})
                     : std::nullopt;
  }
  const double limit = known->limit.per_second.value_or(0);
  return cold_rate ? PermitRate{std::min(limit, *cold_rate), true}
                   : PermitRate{limit, false};
}

MonotonicTime ServerLimiter::RateReceivedAt(const std::string& server) const {
  const KnownServerLimit* known = this->limits.FindLimit(server);
  return known == nullptr ? this->network->Now() : known->received_at;
}

double ServerLimiter::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

void ServerLimiter::CountPermits(const char* outcome, int count) {
  this->metrics
      ->GetCounter("kumquatcart_server_permits_total", {{"outcome", outcome}})
      .Add(static_cast<std::uint64_t>(count));
}

bool ServerLimiter::HasPermit(const std::string& server) {
  return !this->IsLimited(server) ||
         this->uses[server].stock.HasUsable(this->network->Now());
}

bool ServerLimiter::TryTake(const std::string& server) {
  if (!this->IsLimited(server)) {
    return true;
  }
  ServerUse& use = this->uses[server];
  if (!use.stock.TryTake(this->network->Now())) {
    return false;
  }
  this->CountPermits("used");
  this->RequestPermits(server, &use);
  return true;
}

void ServerLimiter::NoteDemand(const std::string& server) {
  if (!this->IsLimited(server)) {
    return;
  }
  ServerUse& use = this->uses[server];
  use.demand.push_back(this->network->Now());
  this->RequestPermits(server, &use);
}

void ServerLimiter::Refill(const std::string& server) {
  if (this->IsLimited(server)) {
    this->RequestPermits(server, &this->uses[server]);
  }
}

int ServerLimiter::Shortage(ServerUse* use, MonotonicTime now) const {
  DropBefore(&use->demand, now - kDemandWindow);
  const int target =
      std::clamp(static_cast<int>(use->demand.size()), 1, kMaxWanted);
  const int count = use->stock.Count(now);
  return 2 * count < target || count == 0 ? target - count : 0;
}

void ServerLimiter::RequestPermits(const std::string& server, ServerUse* use) {
  const MonotonicTime now = this->network->Now();
  if (use->pending_request != 0 || now < use->request_after) {
    return;
  }
  const int wanted = this->Shortage(use, now);
  if (wanted <= 0) {
    return;
  }
  const std::string target = this->network->FindCoordinator(server);
  if (target != use->coordinator) {
    use->coordinator = target;
    use->share = 0;
  }
  use->pending_request = ++this->last_sequence;
  use->requested_at = now;
  const KnownServerLimit* known = this->limits.FindLimit(server);
  const PermitRequest request{
      this->node, use->pending_request,
      known == nullptr ? ServerLimit{server, 0, std::nullopt, 0} : known->limit,
      wanted};
  if (target == this->node) {
    this->HandleReply(this->Allocate(request));
    return;
  }
  this->network->Send(target, request);
  this->network->CallAfter(kReplyTimeout,
                           [this, server, sequence = use->pending_request] {
                             this->HandleMissedReply(server, sequence);
                           });
}

void ServerLimiter::HandleMissedReply(const std::string& server,
                                      std::int64_t sequence) {
  const auto found = this->uses.find(server);
  const std::optional<PermitRate> shared_rate = this->FindRate(server);
  if (!shared_rate || found == this->uses.end() ||
      found->second.pending_request != sequence) {
    return;
  }
  ServerUse& use = found->second;
  use.pending_request = 0;
  ++use.missed_replies;
  this->CountPermits("no_reply");
  if (use.missed_replies < kMaxMissedReplies) {
    this->listeners.permits_changed();
    return;
  }
  const int nodes = this->network->CountNodes().recent;
  PermitRate rate = *shared_rate;
  rate.per_second = rate.is_strict ? LoneColdRate(rate.per_second, nodes)
                                   : rate.per_second / nodes;
  this->SetShare(server, &use, rate.per_second);
  this->Accept(
      server, &use,
      this->own_schedule.Reserve(server, rate, 1, this->network->Now()));
}

PermitReply ServerLimiter::Allocate(const PermitRequest& request) {
  return this->coordinator.Allocate(request,
                                    this->FindRate(request.limit.server));
}

void ServerLimiter::HandleRequest(const PermitRequest& request) {
  this->MergeReport(request.node, {request.limit});
  this->network->Send(request.node, this->Allocate(request));
}

bool ServerLimiter::IsUsable(const PermitReply& reply,
                             const ServerUse& use) const {
  if (!reply.coordinates) {
    return false;
  }
  const std::optional<PermitRate> rate = this->FindRate(reply.server);
  if (!rate || !rate->is_strict) {
    return true;
  }
  const double least_interval = (1 - kIntervalRounding) / rate->per_second;
  // What a process that was held up reads late is no longer its turn.
  return this->network->Now() < use.requested_at + kReplyTimeout &&
         ToSeconds(std::chrono::microseconds(reply.interval_us)) >=
             std::min(least_interval, kLongestCheckedInterval);
}

void ServerLimiter::HandleReply(const PermitReply& reply) {
  const auto found = this->uses.find(reply.server);
  if (found == this->uses.end() || !this->IsLimited(reply.server) ||
      found->second.pending_request != reply.sequence) {
    return;
  }
  ServerUse& use = found->second;
  if (!this->IsUsable(reply, use)) {
    this->HandleMissedReply(reply.server, reply.sequence);
    return;
  }
  use.pending_request = 0;
  use.missed_replies = 0;
  const PermitOffer offer{reply.count,
                          std::chrono::microseconds(reply.first_in_us),
                          std::chrono::microseconds(reply.interval_us)};
  this->SetShare(reply.server, &use,
                 offer.interval > Duration{0}
                     ? 1 / (ToSeconds(offer.interval) * reply.nodes)
                     : 0);
  this->Accept(reply.server, &use, offer);
}

void ServerLimiter::Accept(const std::string& server,
                           ServerUse* use,
                           const PermitOffer& offer) {
  const MonotonicTime now = this->network->Now();
  use->next_permit_at = now + offer.first_in;
  use->stock.Add(offer, PermitLifetime(this->IsCold(server)), now);
  this->CountPermits(offer.count > 0 ? "granted" : "denied",
                     std::max(offer.count, 1));
  Duration delay = offer.first_in;
  if (offer.count == 0) {
    // A random part keeps nodes from sending their requests at the same time.
    delay = std::clamp(
        FromSeconds(ToSeconds(offer.first_in) * (1 + this->Draw()) / 2),
        kMinRequestPause, kMaxRequestPause);
    use->request_after = now + delay;
    if (use->share > 0) {
      // Other nodes may get the next permits.
      use->next_permit_at += (FromSeconds(1 / use->share) - offer.interval) / 2;
    }
  }
  for (int i = 0; i < std::max(offer.count, 1); ++i) {
    this->network->CallAfter(delay, [this, server] {
      if (this->IsLimited(server)) {
        this->listeners.permits_changed();
      }
    });
    delay += offer.interval;
  }
}

void ServerLimiter::SetShare(const std::string& server,
                             ServerUse* use,
                             double share) {
  if (DiffersSignificantly(share, use->share)) {
    LogInfo(
        "server_limit_share",
        {{"server", server},
         {"limit", this->FindRate(server).value_or(PermitRate{}).per_second},
         {"limit_age_ms",
          ToMillis(this->network->Now() - this->RateReceivedAt(server))},
         {"share", share},
         {"coordinator", use->coordinator},
         {"missed_replies", use->missed_replies}});
    use->share = share;
  }
  use->share_at = this->network->Now();
}

std::optional<MonotonicTime> ServerLimiter::PermitExpectedAt(
    const std::string& server,
    std::size_t ahead) {
  ServerUse& use = this->uses[server];
  const std::optional<MonotonicTime> usable_at =
      use.stock.UsableAt(ahead, this->network->Now());
  if (usable_at) {
    return usable_at;
  }
  return use.pending_request != 0 &&
                 ahead < static_cast<std::size_t>(kMaxWanted)
             ? std::optional(use.requested_at + kUsualReplyTime)
             : std::nullopt;
}

Duration ServerLimiter::EstimateWait(const std::string& server,
                                     int ahead) const {
  const auto found = this->uses.find(server);
  if (found == this->uses.end()) {
    return Duration{0};
  }
  const ServerUse& use = found->second;
  const MonotonicTime now = this->network->Now();
  const Duration first = std::max(use.next_permit_at - now, Duration{0});
  return use.share > 0 ? first + FromSeconds(ahead / use.share) : first;
}

Duration ServerLimiter::NextRetryAfter(const std::string& server) {
  ServerUse& use = this->uses[server];
  const MonotonicTime now = this->network->Now();
  const MonotonicTime earliest =
      now + std::max(this->EstimateWait(server, 0), kMinRetryAfter);
  const Duration step =
      use.share > 0 ? FromSeconds(1 / use.share) : Duration{0};
  use.latest_return = std::min(std::max(earliest, use.latest_return + step),
                               now + kMaxRetryAfter);
  return use.latest_return - now;
}

void ServerLimiter::NoteAnswer(const std::string& server,
                               std::optional<double> per_second,
                               bool sent_under_limit,
                               const std::string& request_id) {
  const KnownServerLimit* known = this->limits.FindLimit(server);
  const bool is_significant =
      known == nullptr || !per_second ||
      DiffersSignificantly(*known->limit.per_second, *per_second);
  if (!this->limits.NoteAnswer(server, per_second, sent_under_limit,
                               this->network->Now())) {
    return;
  }
  if (is_significant) {
    this->HandleChange(server, "answer", request_id);
    this->listeners.limits_changed();
  }
}

void ServerLimiter::HandleStart(const std::string& server,
                                std::int64_t started_ms) {
  if (this->limits.HandleStart(server, started_ms, this->network->Now())) {
    this->HandleChange(server, "restart", "");
  }
}

void ServerLimiter::HandleChange(const std::string& server,
                                 const char* source,
                                 const std::string& origin) {
  const KnownServerLimit* known = this->limits.FindLimit(server);
  LogInfo("server_limit",
          {{"server", server},
           {"limit", known == nullptr ? 0 : *known->limit.per_second},
           {"ended", known == nullptr ? 1 : 0},
           {"source", source},
           {"origin", origin}});
  if (known == nullptr) {
    this->uses.erase(server);
    this->listeners.permits_changed();
  }
}

void ServerLimiter::SetServices(
    const std::map<std::string, ServiceSpec>& services) {
  this->cold_servers.SetServices(services);
}

void ServerLimiter::HandleEntry(const BackendServer& server) {
  this->HandleStart(server.id, server.started_ms);
  if (server.cold_left > kMaxStatedColdTime) {
    this->metrics->GetCounter("kumquatcart_cold_times_bounded_total").Add();
    LogWarning("server_cold_time_bounded",
               {{"server", server.id},
                {"stated_ms", ToMillis(server.cold_left)},
                {"used_ms", ToMillis(kMaxStatedColdTime)}});
  }
  if (this->cold_servers.NoteEntry(server, this->network->Now())) {
    this->HandleCold(server.id, "entry");
  }
}

void ServerLimiter::HandleReturn(const std::string& server) {
  if (this->cold_servers.NoteReturn(server, this->network->Now())) {
    this->HandleCold(server, "return");
  }
}

void ServerLimiter::HandleCold(const std::string& server, const char* source) {
  const MonotonicTime now = this->network->Now();
  const Duration left = *this->cold_servers.FindEnd(server, now) - now;
  this->metrics
      ->GetCounter("kumquatcart_servers_cold_total", {{"source", source}})
      .Add();
  if (const std::optional<int> others = this->cold_lines.Pass(now)) {
    LogInfo("server_cold", {{"server", server},
                            {"source", source},
                            {"left_ms", ToMillis(left)},
                            {"limit", this->FindRate(server)->per_second},
                            {"others_since_last_line", *others}});
  }
  // Permits of a higher limit no longer hold.
  this->uses.erase(server);
  this->network->CallAfter(left,
                           [this, server] { this->HandleColdEnd(server); });
}

void ServerLimiter::HandleColdEnd(const std::string& server) {
  const MonotonicTime now = this->network->Now();
  const std::optional<MonotonicTime> end =
      this->cold_servers.FindEnd(server, now);
  if (end) {  // It has been extended.
    this->network->CallAfter(*end - now,
                             [this, server] { this->HandleColdEnd(server); });
    return;
  }
  if (const std::optional<int> others = this->warm_lines.Pass(now)) {
    LogInfo("server_warm",
            {{"server", server}, {"others_since_last_line", *others}});
  }
  this->uses.erase(server);
  this->listeners.permits_changed();
}

std::vector<ServerLimit> ServerLimiter::NextReport() {
  return this->limits.NextReport(kMaxReportedLimits);
}

void ServerLimiter::MergeReport(const std::string& peer,
                                const std::vector<ServerLimit>& report) {
  for (const ServerLimit& limit : report) {
    const bool was_limited = this->limits.FindLimit(limit.server) != nullptr;
    if (this->limits.Merge(limit, this->network->Now()) &&
        (was_limited || limit.per_second)) {
      this->HandleChange(limit.server, "peer", peer);
    }
  }
}

void ServerLimiter::HandleMessage(const PermitMessage& message) {
  if (const auto* request = std::get_if<PermitRequest>(&message)) {
    this->HandleRequest(*request);
  } else {
    this->HandleReply(std::get<PermitReply>(message));
    this->listeners.permits_changed();
  }
}

void ServerLimiter::DropStale(
    const std::function<bool(const std::string&)>& exists) {
  const MonotonicTime oldest = this->network->Now() - kStaleLifetime;
  this->limits.DropStale(oldest, exists);
  this->cold_servers.DropStale(exists);
  this->metrics->GetGauge("kumquatcart_servers_cold")
      .Set(this->cold_servers.Count(this->network->Now()));
  this->coordinator.DropUnused(oldest);
  this->own_schedule.DropUnused(oldest);
  for (auto entry = this->uses.begin(); entry != this->uses.end();) {
    entry = this->IsLimited(entry->first) ? std::next(entry)
                                          : this->uses.erase(entry);
  }
}

void ServerLimiter::LogRejection(const std::string& request_id,
                                 const std::string& server,
                                 Duration retry_after) const {
  const std::optional<PermitRate> rate = this->FindRate(server);
  const auto use = this->uses.find(server);
  if (!rate || use == this->uses.end()) {
    return;
  }
  const MonotonicTime now = this->network->Now();
  LogInfo("rate_limited",
          {{"id", request_id},
           {"server", server},
           {"limit", rate->per_second},
           {"limit_age_ms", ToMillis(now - this->RateReceivedAt(server))},
           {"cold", this->IsCold(server) ? 1 : 0},
           {"share", use->second.share},
           {"share_age_ms",
            use->second.share > 0 ? ToMillis(now - use->second.share_at) : -1},
           {"coordinator", use->second.coordinator},
           {"retry_after_ms", ToMillis(retry_after)}});
}

}  // namespace kumquatcart
