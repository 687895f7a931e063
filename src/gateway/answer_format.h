// Replies to callers in the form of the completion interface.
#ifndef GATEWAY_ANSWER_FORMAT_H_
#define GATEWAY_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/outcome.h"
#include "gateway/completion_request.h"
#include "model/request.h"

namespace kumquatcart {

// The event that ends a whole stream.
constexpr std::string_view kStreamEndEvent = "data: [DONE]\n\n";

// Formats the answer to one completion request. Immutable; thread safe.
class AnswerFormat {
 public:
  AnswerFormat(const CompletionRequest& request,
               const RequestId& id,
               std::int64_t created_unix_s);

  // Appends the server-sent event of one token to `out`.
  void AppendToken(std::string_view token, std::string* out) const;

  // The event before the end of a whole stream.
  std::string FinishEvent(int tokens, int max_tokens) const;

  // The body of a reply that is not streamed.
  std::string WholeBody(const std::string& text,
                        int tokens,
                        int max_tokens) const;

 private:
  CompletionKind kind;
  std::string id;
  std::string model;
  std::int64_t created_unix_s;
  std::string token_event_prefix;
  std::string token_event_suffix;
};

// Body of an error reply: what went wrong, where, and the outcome.
std::string FormatErrorBody(const Error& error,
                            RequestOutcome outcome,
                            const RequestId& request);

// Event that ends a stream which cannot be finished.
std::string FormatErrorEvent(const Error& error,
                             RequestOutcome outcome,
                             const RequestId& request);

// Appends `text` to `out` as the inside of a JSON string. Bytes that are not
// UTF-8 become the replacement character.
void AppendJsonEscaped(std::string_view text, std::string* out);

}  // namespace kumquatcart

#endif  // GATEWAY_ANSWER_FORMAT_H_
