#include "entry/group_places.h"

#include <algorithm>

#include "base/scope_guard.h"
#include "entry/entry_constants.h"

namespace kumquatcart {

namespace {

// Load, as a part of a group's places, for which a group in another failure
// domain is given up: traffic between failure domains costs and may be cut.
constexpr double kDistanceLoad = 0.08;
// Span over which ends of requests are counted to foretell waits.
constexpr Duration kReleaseWindow = std::chrono::seconds(2);

}  // namespace

Placement::Placement(SharedLoad* load,
                     const BackendServer& server,
                     std::string group,
                     std::int64_t epoch,
                     std::function<void()> released)
    : load(load),
      server_id(server.id),
      address(server.endpoint),
      group(std::move(group)),
      epoch(epoch),
      released(std::move(released)) {
  this->load->Begin(this->server_id);
}

Placement::~Placement() {
  this->load->End(this->server_id);
  if (this->released) {
    this->released();
  }
}

PlacementPtr GroupPlaces::TryTake(const PlaceQuery& query) {
  const auto& services = this->view->Config()->services;
  const auto service = services.find(query.service);
  if (service == services.end() || !service->second.engine) {
    return nullptr;
  }
  const int slots = std::max(1, service->second.engine->slots);
  const GroupStatus* best = nullptr;
  const BackendServer* best_head = nullptr;
  double best_score = 0;
  for (const auto& entry : this->view->Groups()) {
    const GroupStatus& status = entry.second;
    if (status.record.model != query.model ||
        status.record.service != query.service || !this->view->Serves(status)) {
      continue;
    }
    const BackendServer* head =
        this->view->FindServer(status.record.members.front());
    const int taken = this->load->Total(head->id);
    if (query.excluded.count(head->id) > 0 || taken >= slots) {
      continue;
    }
    const double score =
        static_cast<double>(taken) / slots +
        (head->failure_domain == this->failure_domain ? 0 : kDistanceLoad);
    if (best == nullptr || score < best_score) {
      best = &status;
      best_head = head;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  return std::make_unique<Placement>(
      this->load, *best_head, best->record.group, best->record.epoch,
      [this, model = query.model] { this->NoteRelease(model); });
}

int GroupPlaces::Capacity(const PlaceQuery& query) const {
  int groups = 0;
  for (const auto& entry : this->view->Groups()) {
    const GroupStatus& status = entry.second;
    groups += status.record.model == query.model &&
                      status.record.service == query.service &&
                      this->view->Serves(status)
                  ? 1
                  : 0;
  }
  return groups;
}

Duration GroupPlaces::ExpectedWait(const PlaceQuery& query) const {
  const auto ahead = std::count_if(
      this->waiting.begin(), this->waiting.end(),
      [&query](const Pending* p) { return p->query->model == query.model; });
  const auto ended = this->releases.find(query.model);
  if (ended == this->releases.end() || ended->second.empty()) {
    return kReleaseWindow;
  }
  return kReleaseWindow * (ahead + 1) / static_cast<int>(ended->second.size());
}

void GroupPlaces::NoteRelease(const std::string& model) {
  const MonotonicTime now = this->loop->Now();
  std::deque<MonotonicTime>& ended = this->releases[model];
  ended.push_back(now);
  while (now - ended.front() > kReleaseWindow) {
    ended.pop_front();
  }
  this->NoteChange();
}

void GroupPlaces::NoteChange() {
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    Pending* pending = *entry;
    pending->placement = this->TryTake(*pending->query);
    if (pending->placement == nullptr) {
      ++entry;
      continue;
    }
    entry = this->waiting.erase(entry);
    pending->waiter->Notify();
  }
}

PlaceResult GroupPlaces::Acquire(const PlaceQuery& query,
                                 TcpConnection* caller,
                                 Waiter* waiter,
                                 Coroutine yield) {
  PlaceResult result;
  const bool others_wait = std::any_of(
      this->waiting.begin(), this->waiting.end(),
      [&query](const Pending* p) { return p->query->model == query.model; });
  if (!others_wait) {
    result.placement = this->TryTake(query);
  }
  if (result.placement != nullptr) {
    return result;
  }
  const Duration expected = this->ExpectedWait(query);
  result.retry_after = std::clamp(expected, kShortestRetry, kLongestRetry);
  if (this->Capacity(query) == 0) {
    result.reason = "no group serves the model";
    return result;
  }
  if (this->loop->Now() + expected > query.wait_until) {
    result.reason = "all places are taken";
    return result;
  }
  Pending pending{&query, waiter, nullptr};
  this->waiting.push_back(&pending);
  const ScopeGuard guard([this, &pending] { this->waiting.remove(&pending); });
  while (pending.placement == nullptr && !caller->HasEnded()) {
    if (!waiter->WaitUntil(query.wait_until, yield)) {
      break;
    }
  }
  result.placement = std::move(pending.placement);
  result.reason = "no place became free in time";
  return result;
}

}  // namespace kumquatcart
