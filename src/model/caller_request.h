// A caller's request after its head was decoded.
#ifndef MODEL_CALLER_REQUEST_H_
#define MODEL_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "model/prompt_evidence.h"
#include "net/http_head.h"

namespace kumquatcart {

// Immutable once decoded.
struct CallerRequest {
  std::string id;  // Of this attempt of the caller; empty where none was sent.
  std::string method;
  std::string target;  // Path and query, as sent, in origin form.
  std::string host;    // As NormalizeHost() returns it.
  std::string key;     // Bearer key; empty where none was sent.
  std::string model;   // Empty: names no model.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The parts of the prompt that other requests may share; empty if it is not
  // described, or not in the form that the platform states.
  PromptParts shared_parts;
  bool has_odd_prompt = false;  // Described in another form.
  std::optional<std::int64_t> expected_output_tokens;  // The caller's guess.
  std::optional<std::int64_t> resume_after;  // Last event id that it has.
  Duration patience{0};                      // How long the caller waits.
  HeaderList forwarded;  // End-to-end fields that go on unchanged.
  std::string body;

  auto Tie() const {
    return std::tie(this->id, this->method, this->target, this->host, this->key,
                    this->model, this->prompt_tokens, this->max_output_tokens,
                    this->shared_parts, this->has_odd_prompt,
                    this->expected_output_tokens, this->resume_after,
                    this->patience, this->forwarded, this->body);
  }
};

}  // namespace kumquatcart

#endif  // MODEL_CALLER_REQUEST_H_
