#include "standins/generation_stream.h"

#include <utility>

#include "base/json.h"
#include "common/expected_answer.h"

namespace kumquatcart::standins {

namespace {

// Tokens that a stream gives before it goes silent.
constexpr int kTokensBeforeSilence = 3;

}  // namespace

GenerationStream::GenerationStream(Scheduler* scheduler,
                                   StreamPlan plan,
                                   ConnectionPtr connection)
    : scheduler(scheduler),
      plan(std::move(plan)),
      connection(std::move(connection)),
      next_index(this->plan.request.resume_from) {}

void GenerationStream::Start(Duration first_token) {
  if (this->finished) {
    return;
  }
  if (!this->connection->IsOpen()) {
    this->Finish();
    return;
  }
  this->scheduler->After(first_token,
                         [self = this->shared_from_this()] { self->Tick(); });
}

void GenerationStream::Tick() {
  if (this->finished) {
    return;
  }
  const StreamPace pace = this->plan.pace();
  if (pace == StreamPace::kBreak) {
    this->Break();
    return;
  }
  if (!this->connection->IsOpen()) {
    this->Finish();
    return;
  }
  const int sent = this->next_index - this->plan.request.resume_from;
  const bool silent =
      this->plan.faults.silent_before_first_byte ||
      (this->plan.faults.silent_mid_stream && sent >= kTokensBeforeSilence);
  if (pace == StreamPace::kRun && !silent) {
    if (!this->begun) {
      this->begun = true;
      this->connection->BeginLines();
    }
    if (this->next_index >= this->plan.request.max_tokens) {
      this->SendDone();
      return;
    }
    this->SendToken();
  }
  this->scheduler->After(this->plan.token_interval(),
                         [self = this->shared_from_this()] { self->Tick(); });
}

void GenerationStream::SendToken() {
  GenerateChunk chunk;
  chunk.attempt = this->plan.request.attempt;
  chunk.index = this->next_index;
  chunk.token =
      tools::ExpectedToken(this->plan.request.prompt, this->next_index);
  if (this->next_index == this->plan.request.resume_from) {
    chunk.cached_prefix_tokens = this->plan.cached_prefix_tokens;
  }
  ++this->next_index;
  this->SendInjectedLines(chunk);
  this->connection->SendLine(Json(chunk).dump());
}

void GenerationStream::SendInjectedLines(const GenerateChunk& chunk) {
  if (std::exchange(this->plan.faults.foreign_line, false)) {
    GenerateChunk foreign = chunk;
    foreign.attempt = AttemptId("foreign-" + chunk.attempt.value);
    foreign.token = "foreign ";
    this->connection->SendLine(Json(foreign).dump());
  }
  if (std::exchange(this->plan.faults.duplicate_line, false)) {
    this->connection->SendLine(Json(chunk).dump());
  }
}

void GenerationStream::SendDone() {
  GenerateChunk chunk;
  chunk.attempt = this->plan.request.attempt;
  chunk.index = this->plan.request.max_tokens;
  chunk.done = true;
  this->connection->SendLine(Json(chunk).dump());
  this->connection->EndLines();
  this->Finish();
}

void GenerationStream::Break() {
  this->connection->Abort();
  this->Finish();
}

void GenerationStream::Finish() {
  if (std::exchange(this->finished, true)) {
    return;
  }
  this->plan.ended();
}

}  // namespace kumquatcart::standins
