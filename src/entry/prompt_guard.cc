#include "entry/prompt_guard.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "base/logging.h"

namespace kumquatcart {

namespace {

// A longer trial may be joined by another one.
constexpr Duration kMaxTrialTime = std::chrono::seconds(3);
constexpr Duration kTrialPollInterval = std::chrono::milliseconds(20);
// Retry-After of requests that have waited for trials in vain.
constexpr Duration kTrialRetryAfter = std::chrono::milliseconds(300);
// A server that ends may answer a first probe that was under way.
constexpr Duration kSecondProbeDelay = std::chrono::milliseconds(60);
// Time after a run within which the end of its server is blamed on the run: a
// process that fails takes some time to end.
constexpr Duration kAftermath = std::chrono::milliseconds(600);
// Answers of a server count as a sign that it outlives a run from this time
// after the run on.
constexpr Duration kMinOutlived = std::chrono::milliseconds(300);
// Time between two messages to all peers, and the part of it for each peer.
constexpr Duration kMinSendInterval = std::chrono::milliseconds(5);
constexpr Duration kSendTimePerPeer = std::chrono::microseconds(200);
// Changes are sent again to all peers for this time, then to some peers.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(100);
constexpr Duration kRepeatTime = std::chrono::milliseconds(350);
constexpr Duration kRefreshInterval = std::chrono::seconds(1);
constexpr std::size_t kRefreshedPeers = 3;
// Expected number of peers that answer a crash with the sound runs they know.
constexpr double kExpectedReplies = 8;
// A peer whose digests have been missing for this time gets all evidence.
constexpr Duration kPeerSilence = std::chrono::seconds(2);

// How runs that ended in some way are examined.
struct ExaminationRule {
  const char* name;
  std::vector<Duration> probe_delays;  // Each from the last probe on.
  // Probes for which requests with a part that was never sound wait.
  std::size_t held_probes;
  // Whether one examination serves all such runs at a server that end at once.
  bool is_shared;
  bool counts_silence;  // A server that is silent counts as ended.
  // Whether the answer was whole if the server runs on.
  bool proves_parts;
};

const ExaminationRule& RuleFor(RunEnd end) {
  static const ExaminationRule rules[] = {
      {"unanswered", {Duration{0}, kSecondProbeDelay}, 2, true, false, false},
      {"cut_short", {Duration{0}, kSecondProbeDelay}, 2, true, true, false},
      {"closed", {kSecondProbeDelay, kAftermath}, 1, false, true, true},
      {"whole", {kAftermath}, 0, false, false, true},
      {"abandoned", {kAftermath}, 0, false, false, false},
      {"stalled", {Duration{0}, kSecondProbeDelay}, 2, true, false, false}};
  return rules[static_cast<int>(end)];
}

std::string Join(const PromptParts& parts) {
  return fmt::format("{}", fmt::join(parts, ","));
}

}  // namespace

PromptTrial::~PromptTrial() {
  this->guard->EndTrial(this->id);
}

PromptGuard::PromptGuard(EventLoop* loop,
                         std::string node,
                         PromptNetwork* network,
                         MetricRegistry* metrics,
                         std::uint32_t seed)
    : loop(loop),
      node(std::move(node)),
      network(network),
      metrics(metrics),
      generator(seed) {}

void PromptGuard::Start() {
  this->loop->Spawn([this](Coroutine yield) { this->RepeatEvidence(yield); });
}

PromptTrialPtr PromptGuard::BeginTrial(const PromptParts& parts) {
  const std::int64_t id =
      this->quarantine.BeginTrial(parts, this->loop->Now() + kMaxTrialTime);
  if (id == 0) {
    return nullptr;
  }
  this->SendSoon();
  return std::make_shared<PromptTrial>(this, id);
}

void PromptGuard::EndTrial(std::int64_t id) {
  this->quarantine.EndTrial(id);
  this->SendSoon();
}

PromptPass PromptGuard::Admit(const CallerRequest& request,
                              MonotonicTime give_up_at,
                              const std::function<bool()>& has_left,
                              Waiter* waiter,
                              Coroutine yield) {
  PromptPass pass;
  const MonotonicTime since = this->loop->Now();
  for (;;) {
    const MonotonicTime now = this->loop->Now();
    const PromptDecision decision =
        this->quarantine.Decide(request.shared_parts, now);
    switch (decision.admission) {
      case PromptAdmission::kFree:
        return pass;
      case PromptAdmission::kTrial:
        LogInfo("prompt_trial", {{"id", request.id},
                                 {"part", decision.part},
                                 {"waited_ms", ToMillis(now - since)}});
        pass.trial = this->BeginTrial(request.shared_parts);
        return pass;
      case PromptAdmission::kRefused:
        this->quarantine.NoteRefusal(decision.part, now);
        this->metrics->GetCounter("kumquatcart_prompts_refused_total").Add();
        LogInfo("prompt_refused",
                {{"id", request.id},
                 {"part", decision.part},
                 {"waited_ms", ToMillis(now - since)},
                 {"retry_after_ms", ToMillis(decision.retry_after)}});
        // Not a status of the 4xx class, which would blame the caller: the
        // request has not run, and may be sent again when the part is tried.
        return {false, nullptr, decision.retry_after,
                "a part of the prompt crashes servers"};
      case PromptAdmission::kWait:
        break;
    }
    if (has_left()) {
      return {false, nullptr, Duration{0}, "the caller disconnected"};
    }
    if (now >= give_up_at) {
      return {false, nullptr, kTrialRetryAfter,
              "a part of the prompt is on trial"};
    }
    waiter->WaitUntil(std::min(give_up_at, now + kTrialPollInterval), yield);
  }
}

PromptAdmission PromptGuard::AdmissionOf(const CallerRequest& request) const {
  return this->quarantine.Decide(request.shared_parts, this->loop->Now())
      .admission;
}

bool PromptGuard::MaySend(const CallerRequest& request, bool is_trial) const {
  const PromptAdmission admission = this->AdmissionOf(request);
  // The request's own trial makes others wait.
  return admission == PromptAdmission::kFree ||
         (is_trial && admission != PromptAdmission::kRefused);
}

bool PromptGuard::IsRefused(const CallerRequest& request) const {
  return this->AdmissionOf(request) == PromptAdmission::kRefused;
}

void PromptGuard::NoteSound(const CallerRequest& request, AnswerExtent extent) {
  this->NoteSoundParts(request.shared_parts, extent);
}

void PromptGuard::NoteSoundParts(const PromptParts& parts,
                                 AnswerExtent extent) {
  if (this->quarantine.NoteSound(parts, extent, this->loop->Now())) {
    this->HandleOwnChange();
  }
}

void PromptGuard::HandleOwnChange() {
  this->changed_at = this->loop->Now();
  this->LogStates("own");
  this->SendSoon();
}

void PromptGuard::NoteAnswering(const ServerStart& server) {
  this->servers_heard_at[server] = this->loop->Now();
}

bool PromptGuard::IsSettled(const PromptParts& parts,
                            const EndedRun& run) const {
  switch (run.end) {
    case RunEnd::kUnanswered:
    case RunEnd::kCutShort:
    case RunEnd::kStalled:
      return false;
    case RunEnd::kClosed:
      return this->quarantine.AreSound(parts);
    default:
      return this->quarantine.WithoutWholeAnswer(parts).empty();
  }
}

void PromptGuard::NoteEnd(const CallerRequest& request,
                          const BackendServer& server,
                          PromptTrialPtr trial,
                          const EndedRun& run) {
  const PromptParts& parts = request.shared_parts;
  if (parts.empty()) {
    return;
  }
  const bool is_settled = this->IsSettled(parts, run);
  if (run.end == RunEnd::kWhole) {
    // The other parts are proven once the server has outlived the run.
    const PromptParts unproven = this->quarantine.WithoutWholeAnswer(parts);
    PromptParts proven;
    std::set_difference(parts.begin(), parts.end(), unproven.begin(),
                        unproven.end(), std::back_inserter(proven));
    this->NoteSoundParts(proven, WholeAnswer());
  }
  if (is_settled) {
    return;
  }
  const bool was_trial = trial != nullptr;
  if (!was_trial && RuleFor(run.end).held_probes > 0) {
    trial = this->BeginTrial(parts);
  }
  this->BeginExamination(server,
                         {request.id, parts, std::move(trial), was_trial, run});
}

void PromptGuard::BeginExamination(const BackendServer& server,
                                   Suspicion suspicion) {
  const bool is_shared = RuleFor(suspicion.run.end).is_shared;
  const std::pair<ServerStart, RunEnd> key{{server.id, server.started_ms},
                                           suspicion.run.end};
  const auto known = this->joinable.find(key);
  if (is_shared && known != this->joinable.end()) {
    known->second->suspicions.push_back(std::move(suspicion));
    return;
  }
  const auto examination = std::make_shared<Examination>();
  examination->server = server;
  examination->begun_at = this->loop->Now();
  examination->suspicions.push_back(std::move(suspicion));
  if (is_shared) {
    this->joinable[key] = examination;
  }
  this->loop->Spawn([this, examination](Coroutine yield) {
    this->Examine(examination, yield);
  });
}

bool PromptGuard::WasHeardSince(const Examination& examination) const {
  const auto heard = this->servers_heard_at.find(
      {examination.server.id, examination.server.started_ms});
  return heard != this->servers_heard_at.end() &&
         heard->second >= examination.begun_at + kMinOutlived;
}

void PromptGuard::Examine(const ExaminationPtr& examination, Coroutine yield) {
  std::vector<Suspicion>& suspicions = examination->suspicions;
  const RunEnd end = suspicions.front().run.end;
  const ExaminationRule& rule = RuleFor(end);
  ServerSign sign = ServerSign::kRunning;
  for (std::size_t probe = 0;
       probe < rule.probe_delays.size() && sign != ServerSign::kEnded;
       ++probe) {
    for (Suspicion& suspicion : suspicions) {
      if (probe == rule.held_probes && !suspicion.was_trial) {
        suspicion.trial = nullptr;
      }
    }
    const MonotonicTime due = this->loop->Now() + rule.probe_delays[probe];
    this->loop->Sleep(rule.probe_delays[probe], yield);
    if (rule.probe_delays[probe] == kAftermath &&
        this->loop->Now() > due + kMinOutlived) {
      return;  // This VM was held up: the server may have ended since.
    }
    sign = this->WasHeardSince(*examination)
               ? ServerSign::kRunning
               : this->network->Probe(examination->server, yield);
    if (probe == 0 && rule.is_shared) {
      this->joinable.erase(
          {{examination->server.id, examination->server.started_ms}, end});
    }
  }
  LogInfo("prompt_examined", {{"id", suspicions.front().request_id},
                              {"server", examination->server.id},
                              {"started_ms", examination->server.started_ms},
                              {"end", rule.name},
                              {"runs", suspicions.size()},
                              {"sign", ToString(sign)}});
  if (sign == ServerSign::kEnded ||
      (sign == ServerSign::kSilent && rule.counts_silence)) {
    this->AddCrashes(*examination);
  } else if (sign == ServerSign::kRunning && rule.proves_parts) {
    for (const Suspicion& suspicion : suspicions) {
      this->NoteSoundParts(suspicion.parts, WholeAnswer());
    }
  }
}

void PromptGuard::AddCrashes(const Examination& examination) {
  // Runs with the same parts are one crash: the one that got furthest.
  std::map<PromptParts, PromptCrash> crashes;
  for (const Suspicion& suspicion : examination.suspicions) {
    if (this->quarantine.HadEnded(examination.server, suspicion.run.sent_at)) {
      continue;
    }
    PromptCrash& crash = crashes[suspicion.parts];
    crash.was_trial = crash.was_trial || suspicion.was_trial;
    crash.events = std::max(crash.events, suspicion.run.events);
  }
  for (auto& [parts, crash] : crashes) {
    crash.id = this->generator();
    crash.server = examination.server.id;
    crash.started_ms = examination.server.started_ms;
    crash.parts = parts;
    LogInfo("prompt_crash", {{"id", examination.suspicions.front().request_id},
                             {"server", crash.server},
                             {"started_ms", crash.started_ms},
                             {"trial", crash.was_trial ? 1 : 0},
                             {"events", crash.events},
                             {"parts", Join(parts)}});
    this->metrics->GetCounter("kumquatcart_prompt_crashes_total").Add();
    this->quarantine.AddCrash(crash, this->loop->Now());
  }
  if (!crashes.empty()) {
    this->HandleOwnChange();
  }
}

void PromptGuard::LogStates(const char* source) {
  std::set<PromptPart> parts = this->quarantine.PartsWithCrashes();
  for (const auto& entry : this->logged_states) {
    parts.insert(entry.first);
  }
  for (const PromptPart& part : parts) {
    const PartState state = this->quarantine.StateOf(part);
    const auto logged = this->logged_states.find(part);
    const PartState before = logged == this->logged_states.end()
                                 ? PartState::kClear
                                 : logged->second;
    if (state == before) {
      continue;
    }
    LogInfo("prompt_part", {{"part", part},
                            {"state", ToString(state)},
                            {"before", ToString(before)},
                            {"source", source}});
    this->metrics
        ->GetCounter("kumquatcart_prompt_part_states_total",
                     {{"state", ToString(state)}})
        .Add();
    if (state == PartState::kClear) {
      this->logged_states.erase(part);
    } else {
      this->logged_states[part] = state;
    }
  }
}

void PromptGuard::HandleEvidence(const PromptEvidence& evidence) {
  const PromptQuarantine::MergeResult result =
      this->quarantine.Merge(evidence, this->loop->Now());
  if (result.has_changed) {
    this->LogStates("peer");
    if (evidence.is_reply) {
      this->changed_at = this->loop->Now();
      this->SendSoon();
    }
  }
  if (result.knows_more && !evidence.is_reply && this->DrawsReply()) {
    PromptEvidence reply =
        this->quarantine.Export(this->node, this->loop->Now());
    reply.is_reply = true;
    this->network->Send({evidence.node}, reply);
  }
}

bool PromptGuard::DrawsReply() {
  const auto peers = static_cast<double>(this->network->Peers().size());
  return std::bernoulli_distribution(
      std::min(1.0, kExpectedReplies / std::max(1.0, peers)))(this->generator);
}

void PromptGuard::HandlePeer(const std::string& peer) {
  const MonotonicTime now = this->loop->Now();
  const auto [heard, is_new] = this->peers_heard_at.try_emplace(peer, now);
  if ((is_new || now - heard->second > kPeerSilence) &&
      !this->quarantine.IsEmpty()) {
    this->network->Send({peer}, this->quarantine.Export(this->node, now));
  }
  heard->second = now;
}

void PromptGuard::DropStale() {
  const MonotonicTime since = this->loop->Now() - kAftermath;
  for (auto heard = this->servers_heard_at.begin();
       heard != this->servers_heard_at.end();) {
    heard = heard->second < since ? this->servers_heard_at.erase(heard)
                                  : std::next(heard);
  }
  if (this->quarantine.DropStale(this->loop->Now())) {
    this->LogStates("age");
  }
}

Duration PromptGuard::MinSendInterval() const {
  return std::max<Duration>(kMinSendInterval,
                            kSendTimePerPeer * this->network->Peers().size());
}

void PromptGuard::SendSoon() {
  if (this->is_send_scheduled) {
    return;
  }
  const MonotonicTime now = this->loop->Now();
  const MonotonicTime next = this->sent_at + this->MinSendInterval();
  if (next <= now) {
    this->SendToAll();
    return;
  }
  this->is_send_scheduled = true;
  this->loop->Spawn([this, next, now](Coroutine yield) {
    this->loop->Sleep(next - now, yield);
    this->is_send_scheduled = false;
    this->SendToAll();
  });
}

void PromptGuard::SendToAll() {
  this->sent_at = this->loop->Now();
  this->network->Send(this->network->Peers(),
                      this->quarantine.Export(this->node, this->sent_at));
}

void PromptGuard::SendToSome(std::size_t count) {
  std::vector<std::string> peers = this->network->Peers();
  std::shuffle(peers.begin(), peers.end(), this->generator);
  peers.resize(std::min(peers.size(), count));
  this->network->Send(peers,
                      this->quarantine.Export(this->node, this->loop->Now()));
}

void PromptGuard::RepeatEvidence(Coroutine yield) {
  MonotonicTime refreshed_at;
  for (;;) {
    this->loop->Sleep(kRepeatInterval, yield);
    const MonotonicTime now = this->loop->Now();
    if (this->quarantine.IsEmpty()) {
      continue;
    }
    if (now - this->changed_at <= kRepeatTime) {
      this->SendToAll();
    } else if (now - refreshed_at >= kRefreshInterval) {
      refreshed_at = now;
      this->SendToSome(kRefreshedPeers);
    }
  }
}

}  // namespace kumquatcart
