// Requests to model services as callers write them.
#ifndef GATEWAY_COMPLETION_REQUEST_H_
#define GATEWAY_COMPLETION_REQUEST_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "gateway/http_types.h"

namespace kumquatcart {

// The two forms of completion that callers may ask for.
enum class CompletionKind { kChat, kText };

// A checked completion request.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  ServiceName service;
  std::string prompt;
  int max_tokens = 0;
  bool stream = false;

  auto Tie() const {
    return std::tie(this->kind, this->service, this->prompt, this->max_tokens,
                    this->stream);
  }
};

// Parses the body of a completion request. The prompt of a chat is its
// messages, one "role: content" a line. Errors: kInvalidArgument naming the
// field and what is allowed. Pure; thread safe.
Result<CompletionRequest> ParseCompletion(CompletionKind kind,
                                          const std::string& body);

// What every request may say in its headers.
struct RequestOptions {
  RequestId request;  // Made when the caller gave none.
  IdempotencyKey idempotency_key;
  Duration timeout = Duration::zero();  // Zero: none given.
  int priority = 0;

  auto Tie() const {
    return std::tie(this->request, this->idempotency_key, this->timeout,
                    this->priority);
  }
};

// Reads the options. Errors: kInvalidArgument naming the header. Thread safe.
Result<RequestOptions> ParseRequestOptions(const HttpHeaders& headers);

}  // namespace kumquatcart

#endif  // GATEWAY_COMPLETION_REQUEST_H_
