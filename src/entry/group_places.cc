#include "entry/group_places.h"

#include <algorithm>

#include "base/scope_guard.h"
#include "entry/entry_constants.h"

namespace kumquatcart {

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

std::vector<const GroupStatus*> GroupPlaces::Candidates(
    const PlaceQuery& query) const {
  std::vector<const GroupStatus*> candidates;
  for (const auto& entry : this->view->Groups()) {
    const GroupStatus& status = entry.second;
    if (status.record.model == query.model &&
        status.record.service == query.service && this->view->Serves(status) &&
        query.excluded.count(status.record.members.front()) == 0) {
      candidates.push_back(&status);
    }
  }
  return candidates;
}

PlacementPtr GroupPlaces::TryTake(const PlaceQuery& query) {
  const auto& services = this->view->Config()->services;
  const auto service = services.find(query.service);
  if (service == services.end() || !service->second.engine) {
    return nullptr;
  }
  const std::vector<const GroupStatus*> groups = this->Candidates(query);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<PlaceCandidate> candidates;
  std::vector<double> draws;
  for (const GroupStatus* group : groups) {
    const BackendServer* head =
        this->view->FindServer(group->record.members.front());
    candidates.push_back({this->load->Total(head->id),
                          std::max(1, service->second.engine->slots),
                          head->failure_domain == this->failure_domain});
    draws.push_back(uniform(this->generator));
  }
  const std::optional<std::size_t> chosen = ChoosePlace(candidates, draws);
  if (!chosen) {
    return nullptr;
  }
  const GroupRecord& record = groups[*chosen]->record;
  return std::make_unique<Placement>(
      this->load, *this->view->FindServer(record.members.front()), record.group,
      record.epoch, [this, model = query.model] {
        this->forecast.NoteRelease(model, this->loop->Now());
        this->NoteChange();
      });
}

int GroupPlaces::Ahead(const PlaceQuery& query) const {
  return static_cast<int>(std::count_if(
      this->waiting.begin(), this->waiting.end(),
      [&query](const Pending* p) { return p->query->model == query.model; }));
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
  const int ahead = this->Ahead(query);
  if (ahead == 0) {
    result.placement = this->TryTake(query);
  }
  if (result.placement != nullptr) {
    return result;
  }
  const Duration expected =
      this->forecast.Expect(query.model, ahead, this->loop->Now());
  result.retry_after = std::clamp(expected, kShortestRetry, kLongestRetry);
  if (this->Candidates(query).empty()) {
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
