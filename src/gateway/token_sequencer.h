// Order and ownership of the chunks of a generated answer.
#ifndef GATEWAY_TOKEN_SEQUENCER_H_
#define GATEWAY_TOKEN_SEQUENCER_H_

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "model/request.h"

namespace kumquatcart {

// What was done with one chunk.
enum class ChunkVerdict {
  kAccepted,   // Its token, or one that waited for it, comes next.
  kHeld,       // It came early and waits.
  kDuplicate,  // Its token was given before; dropped.
  kForeign,    // It belongs to another attempt; dropped.
  kInvalid,    // It contradicts the answer; the attempt is of no more use.
};

// Puts the tokens of one answer in order over all its attempts, so that each
// is given once. Pure state; not thread safe.
class TokenSequencer {
 public:
  // From now on takes chunks of `attempt` only. Chunks held back are dropped.
  void BeginAttempt(const AttemptId& attempt);

  // Takes in a chunk and appends the tokens that may now be given to `tokens`.
  ChunkVerdict Accept(const GenerateChunk& chunk,
                      std::vector<std::string>* tokens);

  // Index of the next token to give: where a new attempt resumes.
  int NextIndex() const { return this->next_index; }

  // Whether every token up to the announced end was given.
  bool IsWhole() const {
    return this->total >= 0 && this->next_index == this->total;
  }

 private:
  AttemptId attempt;
  int next_index = 0;
  int total = -1;  // Number of tokens of the whole answer; -1: not known.
  std::map<int, std::string> held;
};

}  // namespace kumquatcart

#endif  // GATEWAY_TOKEN_SEQUENCER_H_
