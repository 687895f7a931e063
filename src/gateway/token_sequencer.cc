#include "gateway/token_sequencer.h"

#include "gateway/gateway_constants.h"

namespace kumquatcart {

void TokenSequencer::BeginAttempt(const AttemptId& attempt) {
  this->attempt = attempt;
  this->total = -1;
  this->held.clear();
}

ChunkVerdict TokenSequencer::Accept(const GenerateChunk& chunk,
                                    std::vector<std::string>* tokens) {
  if (chunk.attempt != this->attempt) {
    return ChunkVerdict::kForeign;
  }
  if (chunk.done) {
    if (chunk.index < this->next_index ||
        (this->total >= 0 && this->total != chunk.index)) {
      return ChunkVerdict::kInvalid;
    }
    this->total = chunk.index;
    return this->IsWhole() ? ChunkVerdict::kAccepted : ChunkVerdict::kHeld;
  }
  if (chunk.index < this->next_index || this->held.count(chunk.index) > 0) {
    return ChunkVerdict::kDuplicate;
  }
  const bool past_end = this->total >= 0 && chunk.index >= this->total;
  if (past_end) {
    return ChunkVerdict::kInvalid;
  }
  if (chunk.index > this->next_index) {
    if (this->held.size() >= kMaxHeldChunks) {
      return ChunkVerdict::kInvalid;
    }
    this->held.emplace(chunk.index, chunk.token);
    return ChunkVerdict::kHeld;
  }
  tokens->push_back(chunk.token);
  ++this->next_index;
  auto next = this->held.find(this->next_index);
  while (next != this->held.end()) {
    tokens->push_back(std::move(next->second));
    this->held.erase(next);
    next = this->held.find(++this->next_index);
  }
  return ChunkVerdict::kAccepted;
}

}  // namespace kumquatcart
