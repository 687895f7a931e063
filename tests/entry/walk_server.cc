#include "entry/walk_server.h"

#include <algorithm>

#include "base/contains.h"

namespace kumquatcart {

namespace {

constexpr int kAccepted = 202;
constexpr int kHolds = 200;
constexpr int kConflict = 409;
constexpr int kStale = 412;
constexpr std::size_t kStagedModels = 2;

constexpr Duration kReportLag = std::chrono::milliseconds(200);
// Joins with the model loaded, staged, and neither.
constexpr Duration kSameModelTime = std::chrono::milliseconds(100);
constexpr Duration kStagedModelTime = std::chrono::milliseconds(200);
constexpr Duration kLoadTime = std::chrono::milliseconds(400);
// Time in which a head that closes finishes its requests.
constexpr Duration kFinishTime = std::chrono::milliseconds(300);

}  // namespace

BackendServer WalkServer::Entry() const {
  BackendServer server;
  server.id = this->id;
  server.service = "models";
  server.failure_domain = "zone";
  server.fabric_domain = "d";
  server.started_ms = this->started_ms;
  server.loaded_model = this->loaded_model;
  server.staged_models = this->staged_models;
  server.orders_accepted = this->accepted;
  if (this->membership) {
    server.membership =
        GroupMembership{this->membership->group, this->membership->epoch,
                        this->membership->rank, this->membership->state};
  }
  return server;
}

Json WalkServer::Report(MonotonicTime now) const {
  auto report = this->reports.begin();
  while (std::next(report) != this->reports.end() &&
         std::next(report)->first <= now - kReportLag) {
    ++report;
  }
  return report->second;
}

void WalkServer::Change(MonotonicTime now) {
  Json report{{"models", Json::array()},
              {"staged", this->staged_models},
              {"seq", this->accepted},
              {"born", this->started_ms}};
  if (!this->loaded_model.empty()) {
    report["models"].push_back({{"name", this->loaded_model}});
  }
  if (this->membership) {
    report["group"] = {{"name", this->membership->group},
                       {"epoch", this->membership->epoch},
                       {"rank", this->membership->rank},
                       {"state", ToString(this->membership->state)}};
  }
  this->reports.emplace_back(now, std::move(report));
  while (this->reports.size() > 2 &&
         this->reports[1].first < now - kReportLag) {
    this->reports.pop_front();
  }
  this->changed(*this);
}

void WalkServer::Stop() {
  this->is_up = false;
  this->membership.reset();
  this->left.reset();
}

void WalkServer::Start(MonotonicTime now) {
  this->is_up = true;
  ++this->life;
  ++this->started_ms;
  this->accepted = 0;
  this->highest_epoch = 0;
  this->membership.reset();
  this->left.reset();
  this->loaded_model.clear();
  this->stalled_since.reset();
  this->reports.clear();
  this->Change(now);
}

int WalkServer::Take(const Json& order, MonotonicTime now) {
  if (order.contains("expect") && order["expect"] != this->accepted) {
    return kConflict;
  }
  if (order["op"] == "join") {
    return this->Join(order, now);
  }
  if (order["op"] != "stage") {
    return this->ChangeGroup(order, now);
  }
  if (Contains(this->staged_models, order["model"].get<std::string>())) {
    return kHolds;
  }
  ++this->accepted;
  this->staged_models.push_back(order["model"]);
  if (this->staged_models.size() > kStagedModels) {
    this->staged_models.erase(this->staged_models.begin());
  }
  this->Change(now);
  return kAccepted;
}

int WalkServer::Join(const Json& order, MonotonicTime now) {
  WalkMembership next;
  next.group = order["group"];
  next.epoch = order["epoch"];
  next.model = order["model"];
  next.members = order["members"].get<std::vector<std::string>>();
  next.rank = static_cast<int>(
      std::find(next.members.begin(), next.members.end(), this->id) -
      next.members.begin());
  if (next.epoch < this->highest_epoch) {
    return kStale;
  }
  if (this->IsIn(next.group, next.epoch)) {
    return next.members == this->membership->members ? kHolds : kStale;
  }
  this->JudgeJoin(order);
  const bool is_staged = Contains(this->staged_models, next.model);
  this->state_ends_at = now + (this->loaded_model == next.model ? kSameModelTime
                               : is_staged ? kStagedModelTime
                                           : kLoadTime);
  if (!is_staged) {
    this->staged_models.push_back(next.model);
    if (this->staged_models.size() > kStagedModels) {
      this->staged_models.erase(this->staged_models.begin());
    }
  }
  ++this->accepted;
  this->highest_epoch = next.epoch;
  this->loaded_model = next.model;
  this->stalled_since.reset();
  this->left.reset();
  this->membership = std::move(next);
  this->Change(now);
  return kAccepted;
}

void WalkServer::JudgeJoin(const Json& order) const {
  const std::optional<WalkMembership>& former =
      this->membership ? this->membership : this->left;
  if (!former || former->group == order["group"]) {
    return;
  }
  const WalkServer* head = this->ledger->find(former->members.front());
  if (head == nullptr || !head->IsUp() || !head->Serves() ||
      head->Membership()->group != former->group ||
      !Contains(head->Membership()->members, this->id)) {
    return;
  }
  this->ledger->joined(*this, *former, order,
                       !this->membership ? JoinFault::kHeadServesLeft
                       : head->Membership()->epoch == former->epoch
                           ? JoinFault::kHeadServes
                           : JoinFault::kHeadServesOther);
}

int WalkServer::ChangeGroup(const Json& order, MonotonicTime now) {
  if (!this->IsIn(order["group"], order["epoch"])) {
    return kConflict;
  }
  MembershipState* state = &this->membership->state;
  if (order["op"] == "leave") {
    this->left = std::move(this->membership);
    this->membership.reset();
    this->stalled_since.reset();
  } else if (order["op"] == "open") {
    if (*state == MembershipState::kOpen) {
      return kHolds;
    }
    if (*state != MembershipState::kReady || this->membership->rank != 0) {
      return kConflict;
    }
    this->CheckMembers();
    *state = MembershipState::kOpen;
  } else if (*state == MembershipState::kJoining) {
    return kConflict;
  } else if (*state == MembershipState::kReady ||
             (*state == MembershipState::kClosing &&
              order["close_mode"] == "wait")) {
    return kHolds;
  } else if (*state == MembershipState::kOpen &&
             order["close_mode"] == "wait") {
    *state = MembershipState::kClosing;
    this->state_ends_at = now + kFinishTime;
  } else {
    *state = MembershipState::kReady;
    this->stalled_since.reset();
  }
  ++this->accepted;
  this->Change(now);
  return kAccepted;
}

bool WalkServer::LacksMember() const {
  return std::any_of(
      this->membership->members.begin(), this->membership->members.end(),
      [this](const std::string& member) {
        const WalkServer* server = this->ledger->find(member);
        return server == nullptr ||
               !server->IsIn(this->membership->group, this->membership->epoch);
      });
}

void WalkServer::CheckMembers() const {
  for (const std::string& member : this->membership->members) {
    if (this->ledger->ready.count({this->membership->group,
                                   this->membership->epoch,
                                   this->membership->members, member}) == 0) {
      this->ledger->opened_incomplete.push_back(this->membership->group +
                                                " without " + member);
    }
  }
}

void WalkServer::Tick(MonotonicTime now) {
  if (!this->is_up || !this->membership) {
    return;
  }
  MembershipState* state = &this->membership->state;
  if (*state == MembershipState::kJoining && now >= this->state_ends_at) {
    *state = MembershipState::kReady;
    this->ledger->ready.emplace(this->membership->group,
                                this->membership->epoch,
                                this->membership->members, this->id);
    this->Change(now);
  }
  if (!this->Serves()) {
    return;
  }
  if (!this->LacksMember()) {
    this->stalled_since.reset();
    if (*state == MembershipState::kClosing && now >= this->state_ends_at) {
      *state = MembershipState::kReady;
      this->Change(now);
    }
  } else if (!this->stalled_since) {
    this->stalled_since = now;
  } else if (now - *this->stalled_since >= kStallTime) {
    *state = MembershipState::kBroken;
    this->Change(now);
  }
}

}  // namespace kumquatcart
