#include "soak/server_stand_in.h"

#include <algorithm>
#include <functional>

#include <fmt/format.h>

#include "net/http_status.h"
#include "soak/expected_answer.h"
#include "soak/loopback.h"

namespace kumquatcart::soak {

namespace {

constexpr Duration kWork = std::chrono::milliseconds(30);
constexpr Duration kEventInterval = std::chrono::milliseconds(25);
constexpr Duration kWarmJoin = std::chrono::milliseconds(200);
constexpr Duration kLoad = std::chrono::milliseconds(900);
constexpr Duration kForming = std::chrono::milliseconds(100);
// A head whose group is not whole gives up after this.
constexpr Duration kStall = std::chrono::milliseconds(2500);
// An entry lapses this long after its server's end or last heartbeat.
constexpr Duration kLapse = std::chrono::milliseconds(1500);
constexpr int kSlots = 8;
// From the end of an answer to that of a server that ends after it.
constexpr Duration kAfterWhole = std::chrono::milliseconds(100);
// Events of an answer that its caller leaves before its server ends.
constexpr int kEventsAfterLeaving = 8;
// Events of an answer before its server ends with its connections open.
constexpr int kEventsBeforeSilence = 4;
// Longer than bytes take to arrive.
constexpr Duration kArrival = std::chrono::milliseconds(10);

// Sends what is queued and closes in order. Returns false, as a server's answer
// after which its connection is closed.
bool CloseInOrder(TcpConnection* connection, Waiter* waiter, Coroutine yield) {
  connection->FinishSending();
  while (connection->UnsentBytes() > 0 && !connection->HasEnded()) {
    waiter->WaitUntil(MonotonicTime::max(), yield);
  }
  return false;
}

bool IsStreamRoute(const std::string& target) {
  return target.rfind("/stream/", 0) == 0;
}

}  // namespace

ServerStandIn::ServerStandIn(ServerParts parts,
                             std::string id,
                             std::string service,
                             bool forms_groups,
                             std::shared_ptr<ServerHost> host)
    : parts(parts),
      id(std::move(id)),
      service(std::move(service)),
      forms_groups(forms_groups),
      host(std::move(host)) {}

Status ServerStandIn::Start() {
  EventLoop* loop = this->parts.loop;
  const TcpEndpoint address = FreeLoopbackAddress(loop, kServersHost);
  this->listener = std::make_unique<TcpListener>(
      loop, [this](boost::asio::ip::tcp::socket socket) {
        this->Serve(std::move(socket));
      });
  BOOST_OUTCOME_TRY(this->listener->Start(address));
  this->started_ms = ToUnixMillis(std::chrono::system_clock::now());
  this->alive = true;
  this->host->Attach(address, [this] { this->Register(); });
  (*this->parts.table)[this->id] = this;
  this->Register();
  return Ok();
}

void ServerStandIn::Die(bool silences_open) {
  if (!this->alive) {
    return;
  }
  this->SetLimit(std::nullopt);
  this->alive = false;
  this->parts.table->erase(this->id);
  this->listener->Stop();
  this->host->Detach(silences_open);
  this->LapseEntry();
}

void ServerStandIn::LapseEntry() {
  this->parts.loop->Spawn([parts = this->parts, id = this->id,
                           started = this->started_ms,
                           host = this->host](Coroutine yield) {
    parts.loop->Sleep(kLapse, yield);
    while (host->GetStoreCut() == StoreCut::kEntryStays) {
      parts.loop->Sleep(kWork, yield);
    }
    parts.entries->Lapse(id, started);
  });
}

void ServerStandIn::CutFromStore(StoreCut cut) {
  this->host->SetStoreCut(cut);
  if (cut == StoreCut::kEntryLapses) {
    this->LapseEntry();
  }
}

void ServerStandIn::SetLimit(std::optional<double> per_second) {
  if (!this->alive) {
    return;
  }
  this->limit = per_second;
  const MonotonicTime now = this->parts.loop->Now();
  if (per_second) {
    this->parts.limits->NoteLimit(this->id, *per_second, now);
  } else {
    this->parts.limits->NoteEnd(this->id, now);
  }
}

void ServerStandIn::RejectUntil(MonotonicTime end, bool towards_all) {
  this->rejects_until = end;
  this->rejects_all = towards_all;
}

bool ServerStandIn::RejectIfBusy(const ParsedRequest& request,
                                 TcpConnection* connection) const {
  const std::string request_id(FindHeader(request.headers, "X-Request-Id"));
  const std::string entry = this->parts.ledger->EntryOf(request_id);
  const MonotonicTime now = this->parts.loop->Now();
  this->parts.backoffs->NoteRequest(this->id, entry, now);
  if (now >= this->rejects_until ||
      (!this->rejects_all && std::hash<std::string>()(entry) % 2 == 0)) {
    return false;
  }
  const Duration wait = this->rejects_until - now;
  HeaderList headers{
      {"X-Request-Id", request_id},
      {"Keep-Alive", "timeout=5"},
      {"X-Not-Executed", "1"},
      {"Retry-After",
       fmt::format("{:.3f}", std::chrono::duration<double>(wait).count())}};
  this->AddLimit(request_id, &headers);
  AnswerSender(connection, false)
      .SendWhole(kHttpServiceUnavailable, headers, "");
  this->parts.backoffs->NoteRejection(this->id, entry, wait, now);
  return true;
}

bool ServerStandIn::IsOpenHead() const {
  return this->membership && this->membership->state == "open" &&
         this->membership->formation.members.front() == this->id;
}

std::vector<std::string> ServerStandIn::GroupMembers() const {
  return this->membership ? this->membership->formation.members
                          : std::vector<std::string>();
}

void ServerStandIn::NoteArrival(const ParsedRequest& request) const {
  const std::string left(FindHeader(request.headers, "X-Deadline-Ms"));
  this->parts.retries->NoteArrival(
      this->service, std::string(FindHeader(request.headers, "X-Request-Id")),
      std::chrono::milliseconds(left.empty() ? -1 : std::stoll(left)),
      this->parts.loop->Now());
}

void ServerStandIn::NoteRequest(const std::string& request_id) const {
  this->parts.ledger->NoteRun(request_id, this->id);
  const std::string entry = this->parts.ledger->EntryOf(request_id);
  const MonotonicTime now = this->parts.loop->Now();
  this->parts.limits->NoteRequest(this->id, entry, now);
  if (this->parts.drains != nullptr) {
    this->parts.drains->NoteRequest(this->id, entry, request_id, now);
  }
}

void ServerStandIn::AddLimit(const std::string& request_id,
                             HeaderList* headers) const {
  if (this->limit) {
    headers->push_back({"Server-Limit", fmt::format("{}", *this->limit)});
    this->parts.limits->NoteAnswer(this->id,
                                   this->parts.ledger->EntryOf(request_id),
                                   this->parts.loop->Now());
  }
}

void ServerStandIn::Drain(Duration time) {
  this->draining = true;
  this->Register();
  this->parts.loop->Spawn([this, time](Coroutine yield) {
    this->parts.loop->Sleep(time, yield);
    this->Die();
  });
}

Json ServerStandIn::Describe() const {
  Json json{{"models", Json::array()},
            {"staged", this->host->StagedModels()},
            {"seq", this->orders},
            {"born", this->started_ms}};
  if (!this->loaded_model.empty()) {
    json["models"].push_back(
        {{"name", this->loaded_model}, {"version", 1}, {"adapters", {}}});
  }
  if (this->membership) {
    const GroupFormation& formation = this->membership->formation;
    const std::vector<std::string>& members = formation.members;
    json["group"] = {
        {"name", formation.group},
        {"epoch", formation.epoch},
        {"rank",
         std::find(members.begin(), members.end(), this->id) - members.begin()},
        {"state", this->membership->state}};
  }
  return json;
}

void ServerStandIn::Register() {
  if (this->host->GetStoreCut() != StoreCut::kNone) {
    return;
  }
  Json json = this->Describe();
  json["seq"] = ++this->entries_written;  // Not the number of orders.
  json["service"] = this->service;
  json["address"] = this->host->Address().address().to_string() + ":" +
                    std::to_string(this->host->Address().port());
  json["zone"] = this->host->FailureDomain();
  json["version"] = "v1";
  json["slots"] = kSlots;
  json["state"] = this->draining ? "draining" : "ready";
  json["cold_left_ms"] = 0;
  if (this->forms_groups) {
    json["domain"] = this->host->FailureDomain() + "-d0";
  }
  this->parts.entries->Write(this->id, this->started_ms, json.dump());
  if (this->draining && this->parts.drains != nullptr) {
    this->parts.drains->NoteReport(this->id, this->parts.loop->Now());
  }
}

void ServerStandIn::Serve(boost::asio::ip::tcp::socket socket) {
  const auto connection =
      TcpConnection::Adopt(this->parts.loop, std::move(socket));
  this->parts.loop->Spawn([this, connection](Coroutine yield) {
    Waiter waiter(this->parts.loop);
    connection->SetWaiter(&waiter);
    RequestReader reader(this->parts.loop, connection.get(), &waiter,
                         [] { return CallerLimits{}; });
    const bool never_closes = false;
    for (;;) {
      const RequestReadResult outcome = reader.Read(&never_closes, yield);
      if (outcome.result != RequestReadStatus::kRequest || !this->alive ||
          !this->Answer(outcome.request, connection.get(), &waiter, yield)) {
        break;
      }
    }
    connection->SetWaiter(nullptr);
    connection->Close();
  });
}

void ServerStandIn::AnswerText(const ParsedRequest& request,
                               int status,
                               const std::string& body,
                               bool not_run,
                               TcpConnection* connection) const {
  const std::string request_id(FindHeader(request.headers, "X-Request-Id"));
  HeaderList headers{{"X-Request-Id", request_id}, {"Keep-Alive", "timeout=5"}};
  this->AddLimit(request_id, &headers);
  if (not_run) {
    headers.push_back({"X-Not-Executed", "1"});
  } else {
    headers.push_back({"X-Response-Seal", this->id});
  }
  AnswerSender(connection, false).SendWhole(status, headers, body);
}

bool ServerStandIn::Answer(const ParsedRequest& request,
                           TcpConnection* connection,
                           Waiter* waiter,
                           Coroutine yield) {
  // A report is answered whichever server is meant.
  if (request.target == "/api/report") {
    this->AnswerText(request, kHttpOk, this->Describe().dump(), false,
                     connection);
    return true;
  }
  if (request.target != "/api/order") {
    this->NoteArrival(request);
  }
  const std::string_view expected =
      FindHeader(request.headers, "X-Expect-Instance");
  if (!expected.empty() && expected != this->id) {
    this->AnswerText(request, kHttpMisdirectedRequest, "", true, connection);
    return true;
  }
  if (request.target == "/api/order") {
    const Result<Json> order = ParseJson(request.body);
    const SimpleHttpResponse answer =
        order.has_error() ? SimpleHttpResponse{kHttpBadRequest, ""}
                          : this->TakeOrder(order.value());
    this->AnswerText(request, answer.status, answer.body, false, connection);
    return true;
  }
  if (IsStreamRoute(request.target) != this->forms_groups) {
    this->parts.ledger->Accuse(
        fmt::format("{} got {}, which is not of its service", this->id,
                    FindHeader(request.headers, "X-Request-Id")));
  }
  if (this->forms_groups) {
    return this->Stream(request, connection, waiter, yield);
  }
  if (this->RejectIfBusy(request, connection)) {
    return true;
  }
  const std::string caller_id(FindHeader(request.headers, "X-Request-Id"));
  this->NoteRequest(caller_id);
  this->parts.loop->Sleep(kWork, yield);
  if (!this->alive) {
    return false;
  }
  const AnswerForm form = this->FormOf(caller_id);
  const bool breaks_off = this->BreaksOff(caller_id);
  if (!form.ends_with_connection && !breaks_off) {
    this->AnswerText(request, kHttpOk, ExpectedBody(caller_id), false,
                     connection);
    return true;
  }
  HeaderList headers{{"X-Request-Id", caller_id},
                     {"X-Response-Seal", this->id}};
  this->AddLimit(caller_id, &headers);
  AnswerSender sender(connection, false);
  if (!breaks_off) {
    sender.DisableChunks();
  }
  sender.BeginStream(kHttpOk, headers);
  const std::string body = ExpectedBody(caller_id);
  sender.SendPart(body.substr(0, breaks_off ? body.size() / 2 : body.size()));
  if (!breaks_off) {
    sender.EndStream();
  }
  return CloseInOrder(connection, waiter, yield);
}

bool ServerStandIn::CrashesUnder(const ParsedRequest& request) const {
  const std::string_view prompt =
      FindHeader(request.headers, "X-Prompt-Prefix");
  return this->parts.prompts != nullptr &&
         prompt.find(kCrashingPart) != std::string_view::npos;
}

int ServerStandIn::EventsBeforeCrash() const {
  if (this->parts.crash_form == CrashForm::kAfterWhole) {
    return kStreamEvents + 1;
  }
  if (this->parts.crash_form == CrashForm::kAfterLeaving) {
    return kEventsAfterLeaving;
  }
  if (this->parts.crash_form == CrashForm::kSilent) {
    return kEventsBeforeSilence;
  }
  constexpr int kEvents[] = {0, 0, 0, 4, 8};
  return kEvents[std::hash<std::string>()("events" + this->id) %
                 std::size(kEvents)];
}

void ServerStandIn::SendBeforeCrash(AnswerSender* sender,
                                    const std::string& next_event,
                                    TcpConnection* connection,
                                    Waiter* waiter,
                                    Coroutine yield) const {
  const std::size_t third = std::hash<std::string>()(this->id) % 4;
  const std::size_t length =
      std::min(next_event.size(), third * next_event.size() / 3);
  if (length > 0) {
    sender->SendPart(next_event.substr(0, length));
  }
  while (connection->UnsentBytes() > 0 && !connection->HasEnded()) {
    waiter->WaitUntil(MonotonicTime::max(), yield);
  }
}

bool ServerStandIn::Crash(Duration delay, Coroutine yield) {
  this->parts.loop->Sleep(delay, yield);
  if (this->alive) {  // It may have ended under another request meanwhile.
    this->parts.prompts->NoteServerEnd(this->parts.loop->Now());
    this->Die(this->parts.crash_form == CrashForm::kSilent);
    this->parts.ended_under_prompt(this);
  }
  return false;
}

bool ServerStandIn::BreaksOff(const std::string& request_id) const {
  constexpr std::size_t kGrades = 1000;
  const std::size_t grade =
      std::hash<std::string>()(this->id + " " + request_id) % kGrades;
  return static_cast<double>(grade) < this->broken_share * kGrades;
}

AnswerForm ServerStandIn::FormOf(const std::string& request_id) const {
  return this->parts.varies_framing ? DrawAnswerForm(this->id, request_id)
                                    : AnswerForm{};
}

bool ServerStandIn::BreakOff(const AnswerForm& form,
                             AnswerSender* sender,
                             TcpConnection* connection) const {
  if (form.break_end == BreakEnd::kFramed && sender->HasBegun() &&
      sender->Framing() == ResponseFraming::kChunked) {
    sender->EndStream();
  }
  connection->SetResetOnClose(form.break_end == BreakEnd::kReset);
  return false;
}

SimpleHttpResponse ServerStandIn::TakeOrder(const Json& order) {
  if (order.contains("expect") && order.at("expect") != this->orders) {
    return {kHttpConflict, ""};
  }
  const std::string op = order.value("op", std::string());
  if (op == "stage") {
    ++this->orders;
    this->parts.loop->Spawn(
        [this, model = order.value("model", std::string())](Coroutine yield) {
          this->parts.loop->Sleep(kLoad, yield);
          if (this->alive) {
            this->host->Stage(model);
            this->Register();
          }
        });
    return {kHttpAccepted, ""};
  }
  if (op == "join") {
    return this->Join(order);
  }
  if (!this->membership ||
      this->membership->formation.group !=
          order.value("group", std::string()) ||
      this->membership->formation.epoch !=
          order.value("epoch", std::int64_t{0})) {
    return {kHttpConflict, ""};
  }
  ++this->orders;
  if (op == "leave") {
    this->membership.reset();
  } else if (op == "close") {
    this->membership->state = "ready";
  } else if (op == "open") {
    if (this->membership->state != "ready") {
      return {kHttpConflict, ""};
    }
    this->parts.loop->Spawn(
        [this, opened = *this->membership](Coroutine yield) {
          this->parts.loop->Sleep(kForming, yield);
          if (this->alive && this->membership &&
              this->membership->formation == opened.formation) {
            this->Open();
          }
        });
  }
  this->Register();
  return {kHttpAccepted, ""};
}

SimpleHttpResponse ServerStandIn::Join(const Json& order) {
  const GroupFormation joined{
      order.at("group").get<std::string>(),
      order.at("epoch").get<std::int64_t>(),
      order.at("members").get<std::vector<std::string>>()};
  if (this->membership) {
    const GroupFormation& current = this->membership->formation;
    if (current.epoch > joined.epoch) {
      return {kHttpPreconditionFailed, ""};
    }
    if (current.group != joined.group && this->IsServing(current)) {
      this->parts.ledger->Accuse(
          fmt::format("{} joined {} while its group {} was open", this->id,
                      joined.group, current.group));
    }
    if (current.group == joined.group && current.epoch == joined.epoch) {
      return {current == joined ? kHttpOk : kHttpPreconditionFailed, ""};
    }
  }
  ++this->orders;
  const std::string model = order.value("model", std::string());
  const bool is_warm = this->loaded_model == model ||
                       this->host->StagedModels().count(model) > 0;
  this->membership = Membership{joined, "joining"};
  this->Register();
  this->parts.loop->Spawn([this, joined, model, is_warm](Coroutine yield) {
    this->parts.loop->Sleep(is_warm ? kWarmJoin : kLoad, yield);
    if (!this->alive) {
      return;
    }
    this->host->Stage(model);
    this->loaded_model = model;
    this->BecomeReady(joined);
  });
  return {kHttpAccepted, ""};
}

void ServerStandIn::Open() {
  const GroupFormation& formation = this->membership->formation;
  if (const auto other = this->parts.readiness->NoteOpen(formation)) {
    this->parts.ledger->Accuse(
        fmt::format("{} ({}) opened with epoch {} of {} ({})", formation.group,
                    fmt::join(formation.members, ", "), formation.epoch,
                    other->group, fmt::join(other->members, ", ")));
  }
  this->membership->state = "open";
  this->Register();
}

void ServerStandIn::BecomeReady(const GroupFormation& joined) {
  if (!this->membership || !(this->membership->formation == joined)) {
    return;
  }
  this->membership->state = "ready";
  this->parts.readiness->NoteReady(joined, this->id);
  this->Register();
}

bool ServerStandIn::IsInGroup(const GroupFormation& served) const {
  return this->membership &&
         this->membership->formation.group == served.group &&
         this->membership->formation.epoch == served.epoch;
}

bool ServerStandIn::IsServing(const GroupFormation& served) const {
  const auto head = this->parts.table->find(served.members.front());
  return head != this->parts.table->end() && head->second->IsInGroup(served) &&
         head->second->membership->state == "open";
}

bool ServerStandIn::IsWhole(const GroupFormation& served) const {
  return std::all_of(served.members.begin(), served.members.end(),
                     [this, &served](const std::string& member) {
                       const auto found = this->parts.table->find(member);
                       return found != this->parts.table->end() &&
                              found->second->IsInGroup(served);
                     });
}

bool ServerStandIn::Stream(const ParsedRequest& request,
                           TcpConnection* connection,
                           Waiter* waiter,
                           Coroutine yield) {
  if (!this->membership || this->membership->state != "open") {
    this->AnswerText(request, kHttpMisdirectedRequest, "", true, connection);
    return true;
  }
  if (this->RejectIfBusy(request, connection)) {
    return true;
  }
  const GroupFormation served = this->membership->formation;
  const std::string caller_id(FindHeader(request.headers, "X-Request-Id"));
  const std::string resume(FindHeader(request.headers, "Last-Event-Id"));
  this->NoteRequest(caller_id);
  const bool crashes = this->CrashesUnder(request);
  if (crashes) {
    this->parts.prompts->NoteArrival(this->parts.ledger->EntryOf(caller_id),
                                     this->parts.loop->Now());
  }
  for (const std::string& member : this->parts.readiness->NeverReady(served)) {
    this->parts.ledger->Accuse(
        fmt::format("{} ran in {} of which {} was never ready", caller_id,
                    served.group, member));
  }
  if (crashes && this->parts.crash_form == CrashForm::kBeforeHead) {
    return this->Crash(Duration{0}, yield);
  }
  const bool outlasts_caller =
      crashes && this->parts.crash_form == CrashForm::kAfterLeaving;
  const AnswerForm form = this->FormOf(caller_id);
  const auto event_text = [&](int event) {
    return event > kStreamEvents
               ? std::string()
               : fmt::format("id: {}{end}data: {}{end}{end}", event,
                             ExpectedEvent(caller_id, event),
                             fmt::arg("end", form.line_end));
  };
  const auto begin_stream = [&](AnswerSender* sender) {
    HeaderList headers{{"X-Request-Id", caller_id},
                       {"X-Response-Seal", this->id},
                       {"Content-Type", "text/event-stream"}};
    this->AddLimit(caller_id, &headers);
    sender->BeginStream(kHttpOk, headers);
  };
  AnswerSender sender(connection, false);
  if (form.ends_with_connection) {
    sender.DisableChunks();
  }
  const int first = resume.empty() ? 1 : std::stoi(resume) + 1;
  int event = first;
  std::string unsent = event_text(event);  // Of that event.
  MonotonicTime whole_at = this->parts.loop->Now();
  while (event <= kStreamEvents) {
    // Bytes that are sent end a wait early as well.
    const MonotonicTime next_at = this->parts.loop->Now() + kEventInterval;
    while (this->parts.loop->Now() < next_at &&
           (outlasts_caller || !connection->HasEnded())) {
      waiter->WaitUntil(next_at, yield);
    }
    const MonotonicTime now = this->parts.loop->Now();
    if (!this->alive || (connection->HasEnded() && !outlasts_caller) ||
        !this->membership ||
        this->membership->formation.epoch != served.epoch ||
        this->membership->state != "open" || now - whole_at > kStall) {
      return this->BreakOff(form, &sender, connection);
    }
    if (!this->IsWhole(served)) {
      continue;
    }
    whole_at = now;
    if (!sender.HasBegun()) {
      begin_stream(&sender);
    }
    const int events_before = this->EventsBeforeCrash();
    if (crashes &&
        (event - first == events_before ||
         (event == kStreamEvents && events_before < kStreamEvents))) {
      this->SendBeforeCrash(&sender, unsent, connection, waiter, yield);
      return this->Crash(kArrival, yield);
    }
    const std::string next = event_text(event + 1);
    const std::size_t ahead = form.splits_events ? next.size() / 2 : 0;
    sender.SendPart(unsent + next.substr(0, ahead));
    unsent = next.substr(ahead);
    if (event == form.breaks_after && event < kStreamEvents) {
      while (connection->UnsentBytes() > 0 && !connection->HasEnded()) {
        waiter->WaitUntil(MonotonicTime::max(), yield);
      }
      return this->BreakOff(form, &sender, connection);
    }
    ++event;
  }
  if (!sender.HasBegun()) {
    begin_stream(&sender);
  }
  sender.EndStream();
  if (crashes) {
    return this->Crash(kAfterWhole, yield);
  }
  return !form.ends_with_connection || CloseInOrder(connection, waiter, yield);
}

}  // namespace kumquatcart::soak
