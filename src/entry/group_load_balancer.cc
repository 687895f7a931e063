#include "entry/group_load_balancer.h"

#include <algorithm>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "entry/entry_constants.h"
#include "routing/prefill_budget.h"

namespace kumquatcart {

namespace {

// Factor on the expected wait of a late request: newer requests that can still
// meet their target are served first, so it waits longer than the rate of
// released slots suggests.
constexpr int kLateWaitFactor = 2;
// Retry-After while no group of a model is open: forming a group takes about a
// second.
constexpr Duration kNoGroupRetryAfter = std::chrono::milliseconds(800);

// Interval at which a request that is held back estimates its wait again.
constexpr Duration kHoldRecheckInterval = std::chrono::milliseconds(50);

// Part of the longest pause that a caller accepts between two events by which
// the first one may come later without notice.
constexpr int kGapTargetPerUnnoticed = 8;

// Whether DecideSpill() decides where the configuration states delays between
// failure domains. Off: see docs/design/leaving-a-failure-domain.md, In force.
constexpr bool kDecidesSpillByGain = false;

}  // namespace

SlotRequest::SlotRequest(GroupLoadBalancer* balancer,
                         SlotQuery query,
                         bool is_for_peer)
    : balancer(balancer),
      query(std::move(query)),
      is_for_peer(is_for_peer),
      request{this->query.model, this->query.latest_start, balancer->now()} {}

SlotRequest::~SlotRequest() {
  this->balancer->Dequeue(this);
}

std::vector<const GroupStatus*> GroupLoadBalancer::ServingGroups(
    const std::string& service,
    const std::string& model) {
  if (this->serving_groups_change != this->view->ChangeCount()) {
    this->serving_groups.clear();
    this->serving_groups_change = this->view->ChangeCount();
  }
  const auto known = this->serving_groups.find({service, model});
  if (known != this->serving_groups.end()) {
    return known->second;
  }
  std::vector<const GroupStatus*> groups;
  for (const auto& entry : this->view->Groups()) {
    const GroupStatus& status = entry.second;
    if (status.record.model == model && status.record.service == service &&
        this->view->Serves(status)) {
      groups.push_back(&status);
    }
  }
  if (!groups.empty()) {  // Callers may name any model.
    this->serving_groups[{service, model}] = groups;
  }
  return groups;
}

std::vector<const GroupStatus*> GroupLoadBalancer::CandidateGroups(
    const SlotQuery& query) {
  std::vector<const GroupStatus*> candidates =
      this->ServingGroups(query.service, query.model);
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&query](const GroupStatus* status) {
                                    return query.excluded.count(
                                               status->record.members.front()) >
                                           0;
                                  }),
                   candidates.end());
  return candidates;
}

const EngineSpec* GroupLoadBalancer::FindEngine(
    const std::string& service) const {
  if (this->view->Config() == nullptr) {
    return nullptr;
  }
  const auto& services = this->view->Config()->services;
  const auto found = services.find(service);
  return found == services.end() || !found->second.engine
             ? nullptr
             : &*found->second.engine;
}

RequestDemand GroupLoadBalancer::MakeDemand(const SlotQuery& query,
                                            const EngineSpec& engine,
                                            int groups,
                                            bool is_coordinator) {
  RequestDemand demand;
  demand.prompt_tokens = static_cast<double>(query.prompt_tokens);
  demand.is_late = this->now() > query.latest_start;
  const ModelSpec* model = engine.FindModel(query.model);
  if (model != nullptr) {
    demand.prefill_budget = PrefillBudget(engine, *model, query.gap_target);
    if (demand.prefill_budget && !is_coordinator) {
      demand.local_prefill_budget =
          LocalPrefillBudget(*demand.prefill_budget, groups, this->nodes);
    }
    if (kDecidesSpillByGain && engine.domain_delay > Duration{0} &&
        is_coordinator) {
      const MonotonicTime now = this->now();
      demand.spill =
          SpillTerms{this->wait_estimator.EstimateWait(query.model, 0, now),
                     query.latest_start - now, 2 * engine.domain_delay,
                     query.gap_target / kGapTargetPerUnnoticed};
    }
  }
  return demand;
}

GroupCandidate GroupLoadBalancer::MakeCandidate(
    const GroupStatus& group,
    const SlotQuery& query,
    const EngineSpec& engine) const {
  const BackendServer* head =
      this->view->FindServer(group.record.members.front());
  GroupCandidate candidate{
      this->counts.requests->Total(head->id), std::max(1, engine.slots),
      head->failure_domain == this->failure_domain,
      static_cast<double>(this->counts.unread->Total(head->id)),
      static_cast<double>(this->counts.unread->LocalCount(head->id))};
  const ModelSpec* model = engine.FindModel(query.model);
  if (model != nullptr) {
    candidate.first_event = EstimateFirstEvent(
        engine, *model, candidate.pending_tokens,
        static_cast<double>(query.prompt_tokens), candidate.active_requests);
  }
  return candidate;
}

const GroupStatus* GroupLoadBalancer::Select(
    std::vector<const GroupStatus*> groups,
    const SlotRequest& slot_request,
    const EngineSpec& engine) {
  const bool is_coordinator = this->slots->IsCoordinator();
  const RequestDemand demand =
      this->MakeDemand(slot_request.query, engine,
                       static_cast<int>(groups.size()), is_coordinator);
  // Above zero because SelectGroup() takes the logarithm.
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::vector<GroupCandidate> candidates;
  std::vector<double> draws;
  for (const GroupStatus* group : groups) {
    candidates.push_back(
        this->MakeCandidate(*group, slot_request.query, engine));
    draws.push_back(uniform(this->generator));
  }
  for (;;) {
    const std::optional<std::size_t> chosen =
        is_coordinator ? SelectGroupForDomain(candidates, demand, draws)
                       : SelectGroup(candidates, demand, draws);
    if (!chosen) {
      return nullptr;
    }
    if (this->TryPass(slot_request, groups[*chosen]->record.members.front())) {
      return groups[*chosen];
    }
    const auto index = static_cast<std::ptrdiff_t>(*chosen);
    groups.erase(groups.begin() + index);
    candidates.erase(candidates.begin() + index);
    draws.erase(draws.begin() + index);
  }
}

bool GroupLoadBalancer::TryPass(const SlotRequest& slot_request,
                                const std::string& head) {
  // A backoff of the head concerns the requests of this VM only.
  return slot_request.is_for_peer
             ? !this->gate->IsLimited(head)
             : this->gate->TryPass(head, !slot_request.was_tried);
}

const GroupStatus* GroupLoadBalancer::TrySelect(
    const SlotRequest& slot_request) {
  const EngineSpec* engine = this->FindEngine(slot_request.query.service);
  if (engine == nullptr) {
    return nullptr;
  }
  this->counts.unread->DropExpired(this->now());
  return this->Select(this->CandidateGroups(slot_request.query), slot_request,
                      *engine);
}

ServerSlotPtr GroupLoadBalancer::MakeSlot(const SlotQuery& query,
                                          const GroupRecord& record,
                                          std::int64_t id) {
  return std::make_unique<ServerSlot>(
      this->counts, *this->view->FindServer(record.members.front()),
      record.group, record.epoch, static_cast<int>(query.prompt_tokens),
      [this, model = query.model, id] {
        this->slots->Return(id);
        this->wait_estimator.RecordRelease(model, this->now());
        this->AssignFreeSlots();
      });
}

bool GroupLoadBalancer::CanAssign(const std::string& service,
                                  const std::string& model) {
  const std::vector<const GroupStatus*> groups =
      this->ServingGroups(service, model);
  return !groups.empty() && this->FindEngine(service) != nullptr &&
         std::none_of(
             groups.begin(), groups.end(), [this](const GroupStatus* group) {
               return this->gate->IsLimited(group->record.members.front());
             });
}

void GroupLoadBalancer::HandleRelease(const std::string& group) {
  const GroupStatus* status = this->view->FindGroup(group);
  if (status != nullptr) {
    this->wait_estimator.RecordRelease(status->record.model, this->now());
  }
  this->AssignFreeSlots();
}

void GroupLoadBalancer::AssignFreeSlots() {
  const MonotonicTime now = this->now();
  this->queue.sort([now](const SlotRequest* left, const SlotRequest* right) {
    return IsServedBefore(left->request, right->request, now);
  });
  // Models without a free slot for requests that are on time, or late. One that
  // can be on time may wait for its failure domain while a late one leaves it.
  std::set<std::pair<std::string, bool>> full_models;
  for (auto entry = this->queue.begin(); entry != this->queue.end();) {
    SlotRequest* slot_request = *entry;
    const std::pair<std::string, bool> demand{
        slot_request->query.model, IsLate(slot_request->request, now)};
    if (full_models.count(demand) == 0) {
      const GroupStatus* group = this->TrySelect(*slot_request);
      slot_request->was_tried = true;
      if (group != nullptr) {
        entry = this->queue.erase(entry);
        slot_request->is_granted = true;
        const SlotRequest::Grant grant = std::move(slot_request->grant);
        grant(group->record);
        continue;
      }
      // Other requests may use groups that this one must not.
      const bool may_use_all_groups =
          slot_request->query.excluded.empty() &&
          (slot_request->is_for_peer || !this->gate->HasRestraints());
      if (may_use_all_groups) {
        full_models.insert(demand);
      }
    }
    ++entry;
  }
}

SlotRequestPtr GroupLoadBalancer::AddToQueue(SlotRequestPtr slot_request) {
  this->queue.push_back(slot_request.get());
  this->AssignFreeSlots();
  return slot_request;
}

SlotRequestPtr GroupLoadBalancer::Enqueue(const SlotQuery& query,
                                          Waiter* waiter) {
  auto slot_request =
      std::make_unique<SlotRequest>(this, query, /*is_for_peer=*/false);
  slot_request->grant =
      [this, waiter, request = slot_request.get()](const GroupRecord& group) {
        request->slot = this->MakeSlot(
            request->query, group, this->slots->Hold(group.members.front()));
        waiter->Notify();
      };
  return this->AddToQueue(std::move(slot_request));
}

SlotRequestPtr GroupLoadBalancer::EnqueueForPeer(const SlotQuery& query,
                                                 SlotRequest::Grant grant) {
  auto slot_request =
      std::make_unique<SlotRequest>(this, query, /*is_for_peer=*/true);
  slot_request->grant = std::move(grant);
  return this->AddToQueue(std::move(slot_request));
}

GroupLoadBalancer::WaitEstimate GroupLoadBalancer::EstimateWait(
    const SlotRequest& slot_request) {
  const SlotQuery& query = slot_request.query;
  const MonotonicTime now = this->now();
  const EngineSpec* engine = this->FindEngine(query.service);
  const std::vector<const GroupStatus*> groups = this->CandidateGroups(query);
  const bool is_coordinator = this->slots->IsCoordinator();
  int ahead = 0;
  double pending_tokens = 0;
  for (const SlotRequest* other : this->queue) {
    if (other != &slot_request && other->query.model == query.model &&
        IsServedBefore(other->request, slot_request.request, now)) {
      ++ahead;
      pending_tokens += static_cast<double>(other->query.prompt_tokens);
    }
  }
  bool has_slot = false;
  bool has_full_group = false;
  WaitEstimate hold{Duration::max(), {}};
  for (const GroupStatus* group : groups) {
    const std::string& head = group->record.members.front();
    pending_tokens += is_coordinator ? this->counts.unread->Total(head)
                                     : this->counts.unread->LocalCount(head);
    if (this->counts.requests->Total(head) >= engine->slots) {
      has_full_group = true;
    } else if (slot_request.is_for_peer ? !this->gate->IsLimited(head)
                                        : this->gate->IsOpen(head)) {
      has_slot = true;
    } else {
      const Duration wait = this->gate->EstimateWait(head, ahead);
      if (wait < hold.wait) {
        hold = {wait, head};
      }
    }
  }
  const ModelSpec* model = engine->FindModel(query.model);
  const Duration prefill_wait =
      model == nullptr ? Duration{0}
                       : EstimatePrefillWait(*engine, *model, pending_tokens,
                                             static_cast<int>(groups.size()),
                                             is_coordinator ? 1 : this->nodes);
  if (has_slot) {
    return {prefill_wait, {}};
  }
  const Duration slot_wait =
      this->wait_estimator.EstimateWait(query.model, ahead, now);
  const bool is_held_back =
      !hold.held_back_by.empty() && (!has_full_group || hold.wait < slot_wait);
  return is_held_back ? WaitEstimate{std::max(prefill_wait, hold.wait),
                                     hold.held_back_by}
                      : WaitEstimate{std::max(prefill_wait, slot_wait), {}};
}

std::optional<MonotonicTime> GroupLoadBalancer::DecideWait(
    const SlotRequest& slot_request,
    SlotResult* rejection) {
  const SlotQuery& query = slot_request.query;
  if (this->FindEngine(query.service) == nullptr) {
    // The caller's next try is routed by the newer version.
    rejection->held_back_by.clear();
    rejection->retry_after = kMinForwardRetryAfter;
    rejection->reason = "the service has left the configuration";
    return std::nullopt;
  }
  const MonotonicTime now = this->now();
  const WaitEstimate expected = this->EstimateWait(slot_request);
  std::uniform_real_distribution<double> uniform(0, 1);
  rejection->held_back_by = expected.held_back_by;
  rejection->retry_after =
      JitteredRetryAfter(expected.wait, uniform(this->generator));
  // Callers that return reach another VM, which the server may not restrain.
  const bool may_be_late =
      !this->gate->HasBackoff(expected.held_back_by) &&
      now + kLateWaitFactor * expected.wait <= query.wait_until;
  if (may_be_late) {
    return query.wait_until;
  }
  if (now + expected.wait <= query.latest_start) {
    return std::min(query.latest_start, query.wait_until);
  }
  rejection->reason = "expected wait exceeds the latency target";
  if (!expected.held_back_by.empty()) {
    rejection->retry_after = this->gate->NextRetryAfter(expected.held_back_by);
    rejection->reason = this->gate->HoldReason(expected.held_back_by);
  }
  return std::nullopt;
}

std::optional<SlotQuery> GroupLoadBalancer::QueryForCoordinator(
    const SlotQuery& query) {
  SlotQuery asked = query;
  bool has_open_group = false;
  for (const GroupStatus* group : this->CandidateGroups(query)) {
    const std::string& head = group->record.members.front();
    if (this->gate->IsRestrained(head)) {
      asked.excluded.insert(head);
    } else {
      has_open_group = true;
    }
  }
  return has_open_group ? std::optional(std::move(asked)) : std::nullopt;
}

bool GroupLoadBalancer::AcquireFromCoordinator(const SlotQuery& query,
                                               TcpConnection* caller,
                                               Waiter* waiter,
                                               Coroutine yield,
                                               SlotResult* result) {
  using State = SlotRequestStatus::State;
  const std::optional<SlotQuery> asked = this->QueryForCoordinator(query);
  if (!asked) {
    return false;
  }
  const std::int64_t id =
      this->slots->Begin(*asked, [waiter] { waiter->Notify(); });
  if (id == 0) {
    return false;
  }
  const ScopeGuard guard([this, id] { this->slots->Cancel(id); });
  SlotRequestStatus status = this->slots->Check(id);
  while (status.state == State::kPending && !caller->HasEnded()) {
    waiter->WaitUntil(status.check_at, yield);
    status = this->slots->Check(id);
  }
  result->by_coordinator = true;
  if (status.state == State::kRejected) {
    result->retry_after = status.retry_after;
    result->reason = status.has_expired
                         ? "no slot became free in time"
                         : "expected wait exceeds the latency target";
    return true;
  }
  if (status.state == State::kGranted) {
    result->slot = this->TakeGranted(query, id, status);
  }
  result->by_coordinator = result->slot != nullptr;
  return result->by_coordinator;
}

ServerSlotPtr GroupLoadBalancer::TakeGranted(const SlotQuery& query,
                                             std::int64_t id,
                                             const SlotRequestStatus& grant) {
  const GroupStatus* group = this->view->FindGroup(grant.group);
  if (group == nullptr || group->record.epoch != grant.epoch ||
      group->record.members.empty() ||
      group->record.members.front() != grant.server ||
      query.excluded.count(grant.server) > 0 || !this->view->Serves(*group) ||
      !this->gate->TryPass(grant.server, /*is_first_try=*/false)) {
    LogInfo("slot_grant_unusable", {{"group", grant.group},
                                    {"epoch", grant.epoch},
                                    {"server", grant.server}});
    this->slots->Return(id);
    return nullptr;
  }
  return this->MakeSlot(query, group->record, id);
}

SlotResult GroupLoadBalancer::Acquire(const SlotQuery& query,
                                      TcpConnection* caller,
                                      Waiter* waiter,
                                      Coroutine yield) {
  SlotResult result;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (this->FindEngine(query.service) == nullptr ||
      this->CandidateGroups(query).empty()) {
    result.retry_after = std::max(
        JitteredRetryAfter(kNoGroupRetryAfter, uniform(this->generator)),
        this->gate->ShortestBackoff(query.excluded));
    result.reason = "no group serves the model";
    return result;
  }
  if (this->AcquireFromCoordinator(query, caller, waiter, yield, &result) ||
      caller->HasEnded()) {
    return result;
  }
  const SlotRequestPtr slot_request = this->Enqueue(query, waiter);
  if (!slot_request->IsGranted()) {
    const std::optional<MonotonicTime> deadline =
        this->DecideWait(*slot_request, &result);
    if (!deadline) {
      return result;
    }
    while (!slot_request->IsGranted() && !caller->HasEnded() &&
           this->now() < *deadline) {
      const bool is_held_back = !result.held_back_by.empty();
      waiter->WaitUntil(
          is_held_back ? std::min(*deadline, this->now() + kHoldRecheckInterval)
                       : *deadline,
          yield);
      // A reply of the coordinator may have shown that the wait is too long,
      // and a new version of the configuration may have ended the service.
      const bool may_be_vain =
          is_held_back || this->FindEngine(query.service) == nullptr;
      if (may_be_vain && !slot_request->IsGranted() &&
          !this->DecideWait(*slot_request, &result)) {
        return result;
      }
    }
  }
  result.slot = slot_request->Take();
  result.reason = "no slot became free in time";
  return result;
}

}  // namespace kumquatcart
