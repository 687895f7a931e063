#include "entry/group_places.h"

#include <algorithm>

#include "entry/entry_constants.h"
#include "routing/reading_room.h"

namespace kumquatcart {

namespace {

// What peers told of unread prompts is void after this: most are read by then.
constexpr Duration kUnreadLifetime = std::chrono::milliseconds(400);
// New callers overtake a late request in line, so its turn comes later than the
// places that become free suggest.
constexpr int kOvertakenFactor = 2;
// Retry-After while no group of a model is open: a group forms in about a
// second.
constexpr Duration kNoGroupRetry = std::chrono::milliseconds(800);

}  // namespace

PlaceTicket::PlaceTicket(GroupPlaces* places, PlaceQuery query, Waiter* waiter)
    : places(places),
      query(std::move(query)),
      waiter(waiter),
      request{this->query.model, this->query.latest_start,
              places->loop->Now()} {}

PlaceTicket::~PlaceTicket() {
  this->places->Leave(this);
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

PlaceDemand GroupPlaces::DemandOf(const PlaceQuery& query,
                                  const EngineSpec& engine,
                                  int groups) const {
  PlaceDemand demand;
  demand.prompt_tokens = static_cast<double>(query.prompt_tokens);
  demand.is_late = this->loop->Now() > query.latest_start;
  const ModelSpec* model = engine.FindModel(query.model);
  if (model != nullptr) {
    demand.room = ReadingRoom(engine, *model, query.gap_target);
  }
  if (demand.room) {
    demand.own_room = OwnReadingRoom(*demand.room, groups, this->nodes);
  }
  return demand;
}

PlacementPtr GroupPlaces::TryTake(const PlaceQuery& query) {
  const EngineSpec* engine = this->view->Config()->FindEngine(query.service);
  if (engine == nullptr) {
    return nullptr;
  }
  const std::vector<const GroupStatus*> groups = this->Candidates(query);
  // Above zero, as a logarithm is taken.
  std::uniform_real_distribution<double> uniform(1e-9, 1);
  std::vector<const BackendServer*> heads;
  std::vector<PlaceCandidate> candidates;
  std::vector<double> draws;
  for (const GroupStatus* group : groups) {
    const BackendServer* head = this->view->HeadOf(group->record);
    heads.push_back(head);
    candidates.push_back(
        {this->counts.requests->Total(head->id), std::max(1, engine->slots),
         head->failure_domain == this->failure_domain,
         static_cast<double>(this->counts.unread->Total(head->id)),
         static_cast<double>(this->counts.unread->Own(head->id))});
    draws.push_back(uniform(this->generator));
  }
  const std::optional<std::size_t> chosen = ChoosePlace(
      candidates,
      this->DemandOf(query, *engine, static_cast<int>(groups.size())), draws);
  if (!chosen) {
    return nullptr;
  }
  const GroupRecord& record = groups[*chosen]->record;
  return std::make_unique<Placement>(
      this->counts, *heads[*chosen], record.group, record.epoch,
      static_cast<int>(query.prompt_tokens), [this, model = query.model] {
        this->forecast.NoteRelease(model, this->loop->Now());
        this->NoteChange();
      });
}

void GroupPlaces::NoteChange() {
  if (this->line.empty()) {
    return;
  }
  const MonotonicTime now = this->loop->Now();
  this->counts.unread->Forget(now - kUnreadLifetime);
  this->line.sort([now](const PlaceTicket* left, const PlaceTicket* right) {
    return GoesBefore(left->request, right->request, now);
  });
  std::set<std::string> taken;  // Models for which nothing is free.
  for (auto entry = this->line.begin(); entry != this->line.end();) {
    PlaceTicket* ticket = *entry;
    if (taken.count(ticket->query.model) == 0) {
      ticket->placement = this->TryTake(ticket->query);
      if (ticket->IsGranted()) {
        entry = this->line.erase(entry);
        ticket->waiter->Notify();
        continue;
      }
      if (ticket->query.excluded.empty()) {
        taken.insert(ticket->query.model);
      }
    }
    ++entry;
  }
}

PlaceTicketPtr GroupPlaces::Join(const PlaceQuery& query, Waiter* waiter) {
  auto ticket = std::make_unique<PlaceTicket>(this, query, waiter);
  this->line.push_back(ticket.get());
  this->NoteChange();
  return ticket;
}

Duration GroupPlaces::ExpectedWait(const PlaceTicket& ticket) {
  const PlaceQuery& query = ticket.query;
  const MonotonicTime now = this->loop->Now();
  const EngineSpec* engine = this->view->Config()->FindEngine(query.service);
  const std::vector<const GroupStatus*> groups = this->Candidates(query);
  int ahead = 0;
  double unread = 0;
  for (const PlaceTicket* other : this->line) {
    if (other != &ticket && other->query.model == query.model &&
        GoesBefore(other->request, ticket.request, now)) {
      ++ahead;
      unread += static_cast<double>(other->query.prompt_tokens);
    }
  }
  bool has_slot = false;
  for (const GroupStatus* group : groups) {
    const std::string& head = group->record.members.front();
    has_slot = has_slot || this->counts.requests->Total(head) < engine->slots;
    unread += this->counts.unread->Own(head);
  }
  const ModelSpec* model = engine->FindModel(query.model);
  const Duration reading =
      model == nullptr
          ? Duration{0}
          : ReadingWait(*engine, *model, unread,
                        static_cast<int>(groups.size()), this->nodes);
  return has_slot ? reading
                  : std::max(reading,
                             this->forecast.Expect(query.model, ahead, now));
}

PlaceResult GroupPlaces::Acquire(const PlaceQuery& query,
                                 TcpConnection* caller,
                                 Waiter* waiter,
                                 Coroutine yield) {
  PlaceResult result;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (this->view->Config()->FindEngine(query.service) == nullptr ||
      this->Candidates(query).empty()) {
    result.retry_after = SpreadReturn(kNoGroupRetry, uniform(this->generator));
    result.reason = "no group serves the model";
    return result;
  }
  const PlaceTicketPtr ticket = this->Join(query, waiter);
  if (!ticket->IsGranted()) {
    const MonotonicTime now = this->loop->Now();
    const Duration expected = this->ExpectedWait(*ticket);
    result.retry_after = SpreadReturn(expected, uniform(this->generator));
    const bool may_be_late =
        now + kOvertakenFactor * expected <= query.wait_until;
    if (!may_be_late && now + expected > query.latest_start) {
      result.reason = "all places are taken";
      return result;
    }
    const MonotonicTime deadline =
        may_be_late ? query.wait_until
                    : std::min(query.latest_start, query.wait_until);
    while (!ticket->IsGranted() && !caller->HasEnded() &&
           waiter->WaitUntil(deadline, yield)) {
    }
  }
  result.placement = ticket->Take();
  result.reason = "no place became free in time";
  return result;
}

}  // namespace kumquatcart
