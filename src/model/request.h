// Requests, their outcomes and the names used on the wire.
#ifndef MODEL_REQUEST_H_
#define MODEL_REQUEST_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"

namespace kumquatcart {

// The truth that a caller is told about its request.
enum class RequestOutcome {
  kCompleted,  // The whole answer of this request follows.
  kNotRun,     // Provably no backend server began it; safe to send again.
  kUnknown,    // It may have run; the answer never came.
};
NLOHMANN_JSON_SERIALIZE_ENUM(RequestOutcome,
                             {{RequestOutcome::kCompleted, "completed"},
                              {RequestOutcome::kNotRun, "not-run"},
                              {RequestOutcome::kUnknown, "unknown"}})
const char* ToString(RequestOutcome outcome);
std::ostream& operator<<(std::ostream& out, RequestOutcome outcome);

// Header names of the callers' interface.
constexpr char kOutcomeHeader[] = "Kumquatcart-Outcome";
constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr char kAttemptIdHeader[] = "X-Attempt-Id";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
constexpr char kRequestTimeoutHeader[] = "Request-Timeout-Ms";
constexpr char kPriorityHeader[] = "Priority";
constexpr char kRetryAfterHeader[] = "Retry-After";

// Body of POST /engine/generate, sent to the leader of a whole group. The
// answer is a chunked body of one JSON object a line: GenerateChunk, the last
// one with `done` set.
struct GenerateRequest {
  AttemptId attempt;
  RequestId request;
  GroupId group;  // The engine refuses another group or epoch with 409.
  std::int64_t epoch = 0;
  std::string prompt;
  int max_tokens = 0;
  int resume_from = 0;  // Index of the first token wanted.
  int priority = 0;     // Higher goes first.

  auto Tie() const {
    return std::tie(this->attempt, this->request, this->group, this->epoch,
                    this->prompt, this->max_tokens, this->resume_from,
                    this->priority);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GenerateRequest,
                                                attempt,
                                                request,
                                                group,
                                                epoch,
                                                prompt,
                                                max_tokens,
                                                resume_from,
                                                priority)

// One line of a generated answer.
struct GenerateChunk {
  AttemptId attempt;
  int index = 0;  // Position of `token`; with `done`, the number of tokens of
                  // the whole answer.
  std::string token;
  bool done = false;
  int cached_prefix_tokens =
      0;  // Prompt tokens found in the prefix cache; on the first line.

  auto Tie() const {
    return std::tie(this->attempt, this->index, this->token, this->done,
                    this->cached_prefix_tokens);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GenerateChunk,
                                                attempt,
                                                index,
                                                token,
                                                done,
                                                cached_prefix_tokens)

}  // namespace kumquatcart

#endif  // MODEL_REQUEST_H_
