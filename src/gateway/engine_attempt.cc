#include "gateway/engine_attempt.h"

#include <utility>

#include "base/json.h"
#include "base/logging.h"
#include "gateway/gateway_constants.h"

namespace kumquatcart {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr char kGeneratePath[] = "/engine/generate";

}  // namespace

EngineAttempt::EngineAttempt(std::shared_ptr<EngineAttemptOwner> owner)
    : owner(std::move(owner)), lines(kMaxChunkLineBytes) {}

std::shared_ptr<UpstreamExchange> EngineAttempt::Make(
    GatewayContext* context,
    std::shared_ptr<EngineAttemptOwner> owner) {
  auto attempt = std::make_shared<EngineAttempt>(std::move(owner));
  auto exchange = std::make_shared<UpstreamExchange>(
      context->parts.clock, &context->clients, &context->exchanges,
      context->settings, attempt);
  attempt->exchange = exchange;
  return exchange;
}

UpstreamRequest EngineAttempt::BuildRequest(const Endpoint& endpoint,
                                            const GenerateRequest& request) {
  UpstreamRequest upstream;
  upstream.endpoint = endpoint;
  upstream.method = "POST";
  upstream.path_and_query = kGeneratePath;
  upstream.content_type = "application/json";
  upstream.headers = {{kRequestIdHeader, request.request.value},
                      {kAttemptIdHeader, request.attempt.value}};
  // An engine's refusal names no request, so it is known to belong to this one
  // only on a connection without others.
  upstream.fresh_connection = true;
  upstream.body =
      Json(request).dump(-1, ' ', false, Json::error_handler_t::replace);
  return upstream;
}

void EngineAttempt::OnHead(const UpstreamAnswerHead& head) {
  this->status = head.status;
  this->owner->OnAnswer(head.framing);
}

bool EngineAttempt::OnBody(std::string_view bytes) {
  if (this->status != kStatusOk || !this->stop_reason.empty()) {
    return true;
  }
  bool hold = false;
  const bool within_bounds = this->lines.Feed(bytes, [&](auto line) {
    if (!this->stop_reason.empty() || line.empty()) {
      return;
    }
    const ChunkReaction reaction = this->HandleLine(line);
    hold = hold || reaction == ChunkReaction::kHold;
    if (reaction == ChunkReaction::kStop && this->stop_reason.empty()) {
      this->StopExchange("chunks contradict one another");
    }
  });
  if (!within_bounds) {
    this->StopExchange("a line is too long");
  }
  return !hold;
}

void EngineAttempt::OnEnd(const ExchangeEnd& end) {
  ExchangeEnd adjusted = end;
  if (this->status == kStatusConflict) {
    adjusted.point = ExchangePoint::kRefused;
    adjusted.detail = "engine refused the group or epoch";
  } else if (this->status != 0 && this->status != kStatusOk) {
    adjusted.point = ExchangePoint::kSent;
    adjusted.detail = "engine answered " + std::to_string(this->status);
  } else if (!this->stop_reason.empty()) {
    adjusted.point = ExchangePoint::kAnswering;
    adjusted.cancelled = false;
    adjusted.detail = this->stop_reason;
  }
  const std::shared_ptr<EngineAttemptOwner> notified = std::move(this->owner);
  notified->OnAttemptEnd(adjusted);
}

ChunkReaction EngineAttempt::HandleLine(std::string_view line) {
  const Result<GenerateChunk> chunk =
      DecodeJson<GenerateChunk>(std::string(line));
  if (!chunk.has_value()) {
    LogWarning("engine_chunk_malformed", {{"detail", chunk.error().message}});
    this->StopExchange("a line is not a chunk");
    return ChunkReaction::kStop;
  }
  return this->owner->OnChunk(chunk.value());
}

void EngineAttempt::StopExchange(std::string reason) {
  this->stop_reason = std::move(reason);
  if (const auto running = this->exchange.lock()) {
    running->Cancel();
  }
}

}  // namespace kumquatcart
