#include "entry/prompt_guard.h"

#include <algorithm>
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

void PromptGuard::NoteCutShort(const CallerRequest& request,
                               const BackendServer& server,
                               PromptTrialPtr trial,
                               const CutShortAnswer& answer) {
  if (request.shared_parts.empty()) {
    return;
  }
  const bool was_trial = trial != nullptr;
  if (!was_trial) {
    // Requests with a part that was never sound wait for the examination.
    trial = this->BeginTrial(request.shared_parts);
  }
  if (answer.is_complete && this->quarantine.AreSound(request.shared_parts)) {
    return;  // Nothing could be learnt.
  }
  const Suspicion suspicion{request.id, request.shared_parts, server,
                            std::move(trial), answer};
  this->loop->Spawn([this, suspicion, was_trial](Coroutine yield) {
    this->Examine(suspicion, was_trial, yield);
  });
}

void PromptGuard::Examine(const Suspicion& suspicion,
                          bool was_trial,
                          Coroutine yield) {
  // Most answers that look whole are, so one probe is enough.
  bool is_running = suspicion.answer.is_complete ||
                    this->network->IsRunning(suspicion.server, yield);
  if (is_running) {
    this->loop->Sleep(kSecondProbeDelay, yield);
    is_running = this->network->IsRunning(suspicion.server, yield);
  }
  if (!is_running) {
    this->AddCrash(suspicion, was_trial);
  } else if (suspicion.answer.is_complete) {
    this->NoteSoundParts(suspicion.parts, WholeAnswer());
  }
}

void PromptGuard::AddCrash(const Suspicion& suspicion, bool was_trial) {
  PromptCrash crash;
  crash.id = this->generator();
  crash.server = suspicion.server.id;
  crash.started_ms = suspicion.server.started_ms;
  crash.was_trial = was_trial;
  crash.parts = suspicion.parts;
  crash.events = suspicion.answer.events;
  LogInfo("prompt_crash", {{"id", suspicion.request_id},
                           {"server", crash.server},
                           {"started_ms", crash.started_ms},
                           {"trial", was_trial ? 1 : 0},
                           {"events", crash.events},
                           {"parts", Join(crash.parts)}});
  this->metrics->GetCounter("kumquatcart_prompt_crashes_total").Add();
  this->quarantine.AddCrash(crash, this->loop->Now());
  this->HandleOwnChange();
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
