#include "standins/engine_host.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "net/http_status.h"
#include "platform/platform_constants.h"

namespace kumquatcart::standins {

namespace {

// A cached prompt saves up to three quarters of the prefill.
constexpr int kUncachedPrefillQuarters = 4;
constexpr int kCachedPrefillQuarters = 1;

Duration FirstToken(const EngineSettings& settings,
                    const GenerationStream& stream) {
  const std::size_t blocks =
      stream.Request().prompt.size() / PrefixCache::kBlockBytes;
  const int prompt_tokens =
      static_cast<int>(blocks) * PrefixCache::kBlockTokens;
  const bool cached =
      prompt_tokens > 0 && stream.CachedPrefixTokens() >= prompt_tokens;
  return settings.first_token *
         (cached ? kCachedPrefillQuarters : kUncachedPrefillQuarters) /
         kUncachedPrefillQuarters;
}

bool TakeOne(int* remaining) {
  if (*remaining <= 0) {
    return false;
  }
  --*remaining;
  return true;
}

std::string RefusalBody(const std::string& reason, const EngineStatus& status) {
  return Json{{"error", reason}, {"status", status}}.dump();
}

}  // namespace

EngineHost::EngineHost(boost::asio::io_context* context,
                       Scheduler* scheduler,
                       TopologyVm topology,
                       const EngineSurroundings* surroundings)
    : VmHost(context, scheduler, std::move(topology)),
      surroundings(surroundings),
      model(this->Row().id, MakeRandomId(), this->EnforcesFence()),
      cache(static_cast<std::size_t>(surroundings->settings.cached_prefixes)),
      load(surroundings->settings.load_lag) {
  this->RecordLoad();
}

void EngineHost::Reset() {
  this->surroundings->weights->Cancel(this->Row().id, this->scheduler->Now());
  this->EndStreams();
  this->model =
      EngineModel(this->Row().id, MakeRandomId(), this->EnforcesFence());
  this->cache = PrefixCache(
      static_cast<std::size_t>(this->surroundings->settings.cached_prefixes));
  this->RecordLoad();
}

void EngineHost::Handle(const HttpRequest& request,
                        ConnectionPtr connection,
                        Duration waited) {
  const std::string path = PathOf(request);
  if (path == kEngineStatusPath) {
    this->AnswerStatus(connection);
  } else if (path == kEngineOrdersPath) {
    this->TakeOrder(request, connection, waited);
  } else if (path == kEngineGeneratePath) {
    this->Generate(request, connection);
  } else if (path == kEngineCancelPath) {
    this->Cancel(request, connection);
  } else if (path == kEngineCacheEventsPath) {
    this->AnswerCacheEvents(request, connection);
  } else if (path == "/engine/kv/export" || path == "/engine/kv/import") {
    this->AnswerKv(request, connection);
  } else if (path == kServiceProbePath) {
    connection->Reply(kHttpOk, "{}");
  } else {
    connection->Reply(kHttpNotFound, ErrorBody("no such path"));
  }
}

EngineStatus EngineHost::CurrentStatus() {
  EngineStatus status = this->model.Report();
  status.load = this->load.At(this->scheduler->Now());
  status.load.capacity = this->surroundings->settings.streams_at_once;
  status.load.age_ms = ToMillis(this->surroundings->settings.load_lag);
  return status;
}

void EngineHost::RecordLoad() {
  EngineLoad now;
  now.running = static_cast<int>(this->running.size());
  now.queued = static_cast<int>(this->waiting.size());
  now.capacity = this->surroundings->settings.streams_at_once;
  now.kv_used = now.capacity == 0
                    ? 0
                    : std::min(1.0, static_cast<double>(now.running) /
                                        static_cast<double>(now.capacity));
  this->load.Record(now, this->scheduler->Now());
}

void EngineHost::AnswerStatus(const ConnectionPtr& connection) {
  connection->Reply(kHttpOk, Json(this->CurrentStatus()).dump());
}

void EngineHost::TakeOrder(const HttpRequest& request,
                           const ConnectionPtr& connection,
                           Duration waited) {
  const Result<EngineOrder> order = DecodeJson<EngineOrder>(request.body());
  if (!order.has_value()) {
    connection->Reply(400, ErrorBody(order.error().message));
    return;
  }
  const Result<EngineEffects> effects = this->model.Take(order.value(), waited);
  if (!effects.has_value()) {
    connection->Reply(kHttpConflict, RefusalBody(effects.error().message,
                                                 this->CurrentStatus()));
    return;
  }
  this->ApplyEffects(effects.value());
  this->AnswerStatus(connection);
}

void EngineHost::ApplyEffects(const EngineEffects& effects) {
  const MonotonicTime now = this->scheduler->Now();
  if (effects.end_streams) {
    this->EndStreams();
  }
  if (effects.cancel_load) {
    this->surroundings->weights->Cancel(this->Row().id, now);
  }
  if (effects.start_load) {
    this->surroundings->weights->Start(
        this->Row().id, this->surroundings->settings.weights_bytes_per_vm, now);
  }
}

StreamPace EngineHost::PaceOf(const EngineClaim& claim) const {
  StreamPace pace = StreamPace::kRun;
  for (const VmId& member : claim.members) {
    const EngineHost* host = this->surroundings->find(member);
    if (host == nullptr || !host->IsAlive() ||
        host->Model().Report().claim != claim) {
      return StreamPace::kBreak;
    }
    if (host->IsPaused()) {
      pace = StreamPace::kStall;
    }
  }
  return pace;
}

void EngineHost::Generate(const HttpRequest& request,
                          const ConnectionPtr& connection) {
  const Result<GenerateRequest> wanted =
      DecodeJson<GenerateRequest>(request.body());
  if (!wanted.has_value()) {
    connection->Reply(400, ErrorBody(wanted.error().message));
    return;
  }
  const Status allowed = this->model.CheckGenerate(wanted.value());
  if (!allowed.has_value()) {
    connection->Reply(kHttpConflict, RefusalBody(allowed.error().message,
                                                 this->CurrentStatus()));
    return;
  }
  const AttemptId attempt = wanted.value().attempt;
  if (this->running.count(attempt) > 0) {
    connection->Reply(kHttpConflict, ErrorBody("attempt is running already"));
    return;
  }
  StreamPlan plan;
  plan.request = wanted.value();
  plan.cached_prefix_tokens =
      this->cache.Use(plan.request.prompt, this->scheduler->Now());
  plan.faults.silent_before_first_byte =
      TakeOne(&this->faults.silent_before_first_byte);
  plan.faults.silent_mid_stream = TakeOne(&this->faults.silent_mid_stream);
  plan.faults.foreign_line = TakeOne(&this->faults.foreign_lines);
  plan.faults.duplicate_line = TakeOne(&this->faults.duplicate_lines);
  plan.token_interval = [this] {
    return this->surroundings->settings.token_interval + this->faults.slowness;
  };
  plan.pace = [this, claim = this->model.Report().claim] {
    return this->PaceOf(claim);
  };
  plan.ended = [this, attempt] {
    this->running.erase(attempt);
    this->StartWaiting();
  };
  auto stream = std::make_shared<GenerationStream>(this->scheduler,
                                                   std::move(plan), connection);
  ++this->surroundings->counts->generations[wanted.value().request.value];
  this->waiting.push_back(std::move(stream));
  this->StartWaiting();
}

void EngineHost::StartWaiting() {
  const auto limit =
      static_cast<std::size_t>(this->surroundings->settings.streams_at_once);
  while (this->running.size() < limit && !this->waiting.empty()) {
    // The first of the highest priority.
    const auto next = std::max_element(
        this->waiting.begin(), this->waiting.end(),
        [](const auto& left, const auto& right) {
          return left->Request().priority < right->Request().priority;
        });
    const std::shared_ptr<GenerationStream> stream = *next;
    this->waiting.erase(next);
    this->running[stream->Request().attempt] = stream;
    stream->Start(FirstToken(this->surroundings->settings, *stream));
  }
  this->RecordLoad();
}

void EngineHost::EndStreams() {
  const auto queued = std::exchange(this->waiting, {});
  const auto started = std::exchange(this->running, {});
  for (const auto& stream : queued) {
    stream->Break();
  }
  for (const auto& [attempt, stream] : started) {
    stream->Break();
  }
}

void EngineHost::Cancel(const HttpRequest& request,
                        const ConnectionPtr& connection) {
  const Result<Json> body = ParseJson(request.body());
  if (!body.has_value() || !body.value().is_object()) {
    connection->Reply(400, ErrorBody("body must be an object"));
    return;
  }
  const AttemptId attempt(body.value().value("attempt", std::string()));
  const auto found = this->running.find(attempt);
  const bool cancelled = found != this->running.end();
  if (cancelled) {
    const std::shared_ptr<GenerationStream> stream = found->second;
    stream->Break();
  }
  connection->Reply(kHttpOk, Json{{"cancelled", cancelled}}.dump());
}

void EngineHost::AnswerCacheEvents(const HttpRequest& request,
                                   const ConnectionPtr& connection) {
  const std::vector<CacheEvent> events = this->cache.Events(
      QueryNumber(request, "from", 1),
      this->scheduler->Now() - this->faults.cache_event_delay);
  connection->Reply(kHttpOk,
                    Json{{"incarnation", this->model.Report().incarnation},
                         {"events", events}}
                        .dump());
}

void EngineHost::AnswerKv(const HttpRequest& request,
                          const ConnectionPtr& connection) {
  const Result<Json> body = ParseJson(request.body());
  if (!body.has_value() || !body.value().is_object()) {
    connection->Reply(400, ErrorBody("body must be an object"));
    return;
  }
  // Only the exchange is played; nothing is kept.
  const std::string attempt = body.value().value("attempt", std::string());
  connection->Reply(kHttpOk, Json{{"handle", "kv-" + attempt}}.dump());
}

}  // namespace kumquatcart::standins
