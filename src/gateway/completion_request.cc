#include "gateway/completion_request.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"
#include "gateway/gateway_constants.h"
#include "model/request.h"

namespace kumquatcart {

namespace {

Error InvalidField(std::string_view where, std::string_view what) {
  return MakeError(ErrorCode::kInvalidArgument,
                   fmt::format("{}: {}", where, what));
}

Result<std::string> ReadText(const Json& object,
                             const char* field,
                             std::string_view where) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return InvalidField(where, "is missing");
  }
  if (!found->is_string()) {
    return InvalidField(where, "must be a string");
  }
  return found->get<std::string>();
}

Result<std::string> ReadChatPrompt(const Json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end()) {
    return InvalidField("body.messages", "is missing");
  }
  if (!messages->is_array() || messages->empty()) {
    return InvalidField("body.messages", "must be a list of messages");
  }
  std::string prompt;
  std::size_t index = 0;
  for (const Json& message : *messages) {
    const std::string where = fmt::format("body.messages[{}]", index++);
    if (!message.is_object()) {
      return InvalidField(where, "must be an object");
    }
    BOOST_OUTCOME_TRY(role, ReadText(message, "role", where + ".role"));
    BOOST_OUTCOME_TRY(content,
                      ReadText(message, "content", where + ".content"));
    prompt += fmt::format("{}: {}\n", role, content);
  }
  return prompt;
}

Result<int> ReadMaxTokens(const Json& body) {
  const auto found = body.find("max_tokens");
  if (found == body.end()) {
    return kDefaultMaxTokens;
  }
  const bool valid = found->is_number_integer() &&
                     found->get<std::int64_t>() >= 1 &&
                     found->get<std::int64_t>() <= kMaxTokensLimit;
  if (!valid) {
    return InvalidField(
        "body.max_tokens",
        fmt::format("must be a whole number from 1 to {}", kMaxTokensLimit));
  }
  return found->get<int>();
}

Result<bool> ReadStream(const Json& body) {
  const auto found = body.find("stream");
  if (found == body.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    return InvalidField("body.stream", "must be true or false");
  }
  return found->get<bool>();
}

Result<std::int64_t> ReadIntHeader(const HttpHeaders& headers,
                                   const char* name,
                                   std::int64_t lowest,
                                   std::int64_t highest,
                                   std::int64_t absent) {
  const std::string text = FindHeader(headers, name);
  if (text.empty()) {
    return absent;
  }
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < lowest ||
      number > highest) {
    return InvalidField(
        fmt::format("header {}", name),
        fmt::format("must be a whole number from {} to {}", lowest, highest));
  }
  return number;
}

// Identifiers are sent on as headers and written to logs.
Result<std::string> ReadIdentifierHeader(const HttpHeaders& headers,
                                         const char* name) {
  const std::string text = FindHeader(headers, name);
  const bool printable = std::all_of(text.begin(), text.end(), [](char byte) {
    return byte > ' ' && byte <= '~';
  });
  if (text.size() > kMaxIdentifierBytes || !printable) {
    return InvalidField(
        fmt::format("header {}", name),
        fmt::format("must be at most {} printable ASCII characters, no spaces",
                    kMaxIdentifierBytes));
  }
  return text;
}

}  // namespace

Result<CompletionRequest> ParseCompletion(CompletionKind kind,
                                          const std::string& text) {
  Result<Json> parsed = ParseJson(text);
  if (!parsed.has_value()) {
    return InvalidField("body", "is not JSON: " + parsed.error().message);
  }
  const Json& body = parsed.value();
  if (!body.is_object()) {
    return InvalidField("body", "must be a JSON object");
  }
  CompletionRequest request;
  request.kind = kind;
  BOOST_OUTCOME_TRY(model, ReadText(body, "model", "body.model"));
  request.service = ServiceName(model);
  if (kind == CompletionKind::kChat) {
    BOOST_OUTCOME_TRY(prompt, ReadChatPrompt(body));
    request.prompt = std::move(prompt);
  } else {
    BOOST_OUTCOME_TRY(prompt, ReadText(body, "prompt", "body.prompt"));
    request.prompt = std::move(prompt);
  }
  BOOST_OUTCOME_TRY(max_tokens, ReadMaxTokens(body));
  request.max_tokens = max_tokens;
  BOOST_OUTCOME_TRY(stream, ReadStream(body));
  request.stream = stream;
  return request;
}

Result<RequestOptions> ParseRequestOptions(const HttpHeaders& headers) {
  RequestOptions options;
  BOOST_OUTCOME_TRY(request, ReadIdentifierHeader(headers, kRequestIdHeader));
  options.request =
      request.empty() ? MakeId<RequestId>() : RequestId(std::move(request));
  BOOST_OUTCOME_TRY(key, ReadIdentifierHeader(headers, kIdempotencyKeyHeader));
  options.idempotency_key = IdempotencyKey(std::move(key));
  BOOST_OUTCOME_TRY(timeout_ms, ReadIntHeader(headers, kRequestTimeoutHeader, 1,
                                              kMaxRequestTimeoutMs, 0));
  options.timeout = std::chrono::milliseconds(timeout_ms);
  BOOST_OUTCOME_TRY(
      priority, ReadIntHeader(headers, kPriorityHeader, 0, kMaxPriority, 0));
  options.priority = static_cast<int>(priority);
  return options;
}

}  // namespace kumquatcart
