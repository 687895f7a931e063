#include "load/runner.h"

#include <utility>

#include "base/worker_pool.h"
#include "load/event_stream.h"
#include "load/http_call.h"
#include "load/prompts.h"

namespace kumquatcart::load {

namespace {

class Sender {
 public:
  Sender(const LoadSettings& settings,
         const std::vector<Caller>& callers,
         Clock* clock,
         RunRecord* record)
      : settings(settings), callers(callers), clock(clock), record(record) {}

  void Send(const PlannedRequest& request, MonotonicTime planned_at) {
    this->SendOnce(request, request.request_id, planned_at, !request.repeated);
    if (!request.repeated) {
      return;
    }
    PlannedRequest repeat = request;
    repeat.request_id += "-repeat";
    repeat.entry = (request.entry + 1) % this->settings.entries.size();
    this->SendOnce(repeat, request.request_id, this->clock->Now(), true);
  }

 private:
  void SendOnce(const PlannedRequest& request,
                const std::string& first_request_id,
                MonotonicTime planned_at,
                bool is_last_of_key) {
    const Caller& caller = this->callers[request.caller];
    CallRequest call = MakeCall(request, caller);
    call.endpoint = this->settings.entries[request.entry];
    call.timeout = this->settings.timeout;
    EventStream stream;
    MonotonicTime last_token = planned_at;
    bool first = true;
    const auto watch = [&](std::string_view body) {
      if (request.kind != RequestKind::kStreamed || stream.Grow(body) == 0) {
        return;
      }
      const MonotonicTime now = this->clock->Now();
      LatencyHistogram& histogram = std::exchange(first, false)
                                        ? this->record->first_token
                                        : this->record->between_tokens;
      histogram.Record(now - std::exchange(last_token, now));
    };
    const Result<CallAnswer> answer = Call(call, watch);
    SentRequest sent;
    sent.kind = request.kind;
    sent.organisation = caller.organisation;
    sent.request_id = request.request_id;
    sent.key = request.key;
    sent.is_last_of_key = is_last_of_key;
    sent.verdict = Judge(request, first_request_id, answer, stream);
    if (sent.verdict.outcome == "completed") {
      this->record->whole_answer.Record(this->clock->Now() - planned_at);
    }
    this->record->Add(std::move(sent));
  }

  const LoadSettings& settings;
  const std::vector<Caller>& callers;
  Clock* clock;
  RunRecord* record;
};

}  // namespace

void RunLoad(const LoadSettings& settings,
             const std::vector<Caller>& callers,
             const std::vector<PlannedRequest>& plan,
             Clock* clock,
             RunRecord* record) {
  Sender sender(settings, callers, clock, record);
  WorkerPool workers(static_cast<std::size_t>(settings.workers));
  const MonotonicTime start = clock->Now();
  for (const PlannedRequest& request : plan) {
    const MonotonicTime due = start + request.at;
    const MonotonicTime now = clock->Now();
    if (due > now) {
      clock->SleepFor(due - now);
    }
    workers.Post([&sender, &request, due] { sender.Send(request, due); });
  }
  workers.Stop();
}

}  // namespace kumquatcart::load
