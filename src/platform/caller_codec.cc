#include "platform/caller_codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <set>

#include <fmt/format.h>

#include "base/ids.h"
#include "net/http_field_values.h"
#include "net/http_status.h"
#include "platform/wire_names.h"

namespace kumquatcart {

namespace {

// How long an idle connection to a server is kept where its answer does not
// say; the page on servers states no default.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(2);
// Taken off a stated idle limit, since the server's clock began earlier.
constexpr char kLateUrgency[] = "8";  // Of 0 to 9; others have 5.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

// Bounds on the description of a prompt; one beyond them is not of the form
// that the platform states.
constexpr std::size_t kMaxPromptParts = 64;
constexpr std::size_t kMaxPromptPartDigits = 32;

// Longest backoff; longer ones are not meant as a time.
constexpr double kMaxBackoffSeconds = 24 * 3600;

struct LessIgnoringCase {
  bool operator()(const std::string& left, const std::string& right) const {
    return std::lexicographical_compare(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) {
          return std::tolower(a) < std::tolower(b);
        });
  }
};
using NameSet = std::set<std::string, LessIgnoringCase>;

// Fields that concern one connection only, or its framing.
const NameSet& ConnectionFields() {
  static const NameSet names = {"Connection",
                                "Keep-Alive",
                                "Proxy-Connection",
                                "Proxy-Authenticate",
                                "Proxy-Authorization",
                                "TE",
                                "Trailer",
                                "Transfer-Encoding",
                                "Upgrade",
                                "Content-Length",
                                "Expect"};
  return names;
}

// Fields that only this system may set towards a server.
const NameSet& SystemFields() {
  static const NameSet names = {
      wire::kAuthorization, wire::kTenant,      wire::kExpectInstance,
      wire::kExpectVersion, wire::kUrgency,     wire::kDeadline,
      wire::kLastEventId,   wire::kNotExecuted, wire::kSeal};
  return names;
}

// Fields whose loss would change what the request means; a Connection field
// that names one of them is not heeded.
const NameSet& EssentialFields() {
  static const NameSet names = {
      "Host",         wire::kRequestId,    wire::kModel,     wire::kTokenCounts,
      "Content-Type", wire::kPromptPrefix, wire::kLengthHint};
  return names;
}

NameSet FieldsNamedByConnection(const HeaderList& headers) {
  NameSet names;
  for (const HeaderField& field : headers) {
    if (!EqualsIgnoringCase(field.name, "Connection")) {
      continue;
    }
    std::string token;
    for (const char c : field.value + ",") {
      if (c == ',') {
        if (!token.empty() && EssentialFields().count(token) == 0) {
          names.insert(token);
        }
        token.clear();
      } else if (c != ' ' && c != '\t') {
        token.push_back(c);
      }
    }
  }
  return names;
}

std::optional<std::int64_t> ParseCount(std::string_view text) {
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      number < 0) {
    return std::nullopt;
  }
  return number;
}

void DecodeTokenCounts(std::string_view text, CallerRequest* request) {
  const std::size_t comma = text.find(',');
  if (comma == std::string_view::npos) {
    return;
  }
  request->prompt_tokens = ParseCount(text.substr(0, comma)).value_or(0);
  request->max_output_tokens = ParseCount(text.substr(comma + 1)).value_or(0);
}

// A part of a prompt, `ID:TOKENS` with a hexadecimal id. None if it is not of
// that form.
std::optional<PromptPart> ParsePromptPart(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == 0 || colon > kMaxPromptPartDigits ||
      !ParseCount(text.substr(colon + 1))) {
    return std::nullopt;
  }
  PromptPart part(text.substr(0, colon));
  for (char& c : part) {
    if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
      return std::nullopt;
    }
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return part;
}

// All parts but the last, which belongs to the request alone. None if the text
// is not of the form that the platform states, or names a part twice.
std::optional<PromptParts> ParseSharedParts(std::string_view text) {
  PromptParts parts;
  for (;;) {
    const std::size_t comma = text.find(',');
    std::string_view entry = text.substr(0, comma);
    entry.remove_prefix(std::min(entry.find_first_not_of(' '), entry.size()));
    const std::optional<PromptPart> part = ParsePromptPart(entry);
    if (!part || parts.size() == kMaxPromptParts) {
      return std::nullopt;
    }
    parts.push_back(*part);
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
  }
  const PromptPart own = parts.back();
  parts.pop_back();
  std::sort(parts.begin(), parts.end());
  const bool names_one_twice =
      std::adjacent_find(parts.begin(), parts.end()) != parts.end() ||
      std::binary_search(parts.begin(), parts.end(), own);
  return names_one_twice ? std::nullopt : std::optional(std::move(parts));
}

void DecodePromptParts(const HeaderList& headers, CallerRequest* request) {
  const std::string_view text = FindHeader(headers, wire::kPromptPrefix);
  if (text.empty()) {
    return;
  }
  std::optional<PromptParts> parts = ParseSharedParts(text);
  request->has_odd_prompt = !parts;
  if (parts) {
    request->shared_parts = std::move(*parts);
  }
}

void DecodeFields(const HeaderList& headers, CallerRequest* request) {
  request->id = std::string(FindHeader(headers, wire::kRequestId));
  request->host = NormalizeHost(FindHeader(headers, "Host"));
  request->model = std::string(FindHeader(headers, wire::kModel));
  request->patience = std::chrono::milliseconds(
      ParseCount(FindHeader(headers, wire::kDeadline)).value_or(0));
  request->expected_output_tokens =
      ParseCount(FindHeader(headers, wire::kLengthHint));
  request->resume_after = ParseCount(FindHeader(headers, wire::kLastEventId));
  DecodeTokenCounts(FindHeader(headers, wire::kTokenCounts), request);
  DecodePromptParts(headers, request);
  request->key =
      std::string(BearerToken(FindHeader(headers, wire::kAuthorization)));
}

bool HasManyHosts(const HeaderList& headers) {
  return std::count_if(headers.begin(), headers.end(),
                       [](const HeaderField& field) {
                         return EqualsIgnoringCase(field.name, "Host");
                       }) != 1;
}

// "timeout=N" of a Keep-Alive field.
Duration DecodeIdleLimit(std::string_view keep_alive) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = keep_alive.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultIdleLimit;
  }
  std::string_view digits = keep_alive.substr(at + kTimeout.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const Duration stated = std::chrono::seconds(ParseCount(digits).value_or(0));
  return std::max(stated - kIdleMargin, Duration{0});
}

// Whether a body is the server's own once its chunks are taken apart.
bool IsPlainTransferCoding(std::string_view coding) {
  return coding.empty() || EqualsIgnoringCase(coding, "chunked") ||
         EqualsIgnoringCase(coding, "identity");
}

// Parameters of the media type do not matter.
bool IsEventStream(std::string_view content_type) {
  content_type = content_type.substr(0, content_type.find_first_of("; \t"));
  return content_type.empty() ||
         EqualsIgnoringCase(content_type, "text/event-stream");
}

// A decimal number, zero or above.
std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(),
                                      number, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

void DecodeRateLimit(std::string_view limit, ServerAnswerHead* head) {
  head->rate_limit = ParseDecimal(limit);
  head->has_invalid_rate_limit = !limit.empty() && !head->rate_limit;
}

// Only a rejection for unavailability speaks of all requests; 429 may concern
// the one that it answers.
void DecodeBackoff(std::string_view retry_after, ServerAnswerHead* head) {
  if (head->status != kHttpServiceUnavailable || retry_after.empty()) {
    return;
  }
  const std::optional<double> seconds = ParseDecimal(retry_after);
  head->has_invalid_backoff = !seconds || *seconds > kMaxBackoffSeconds;
  if (!head->has_invalid_backoff && *seconds > 0) {
    head->backoff = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(*seconds));
  }
}

}  // namespace

Result<CallerRequest> DecodeCallerRequest(std::string method,
                                          const std::string& target,
                                          const HeaderList& headers,
                                          std::string body) {
  std::optional<RequestTarget> parsed = ParseTarget(target);
  if (!parsed) {
    return MakeError(ErrorCode::kInvalidArgument, "target is no path");
  }
  if (HasManyHosts(headers)) {
    return MakeError(ErrorCode::kInvalidArgument, "not exactly one host");
  }
  CallerRequest request;
  request.method = std::move(method);
  request.target = std::move(parsed->path);
  request.body = std::move(body);
  DecodeFields(headers, &request);
  // Servers get the Host field, which must not lead elsewhere than the target.
  if (!parsed->authority.empty() &&
      NormalizeHost(parsed->authority) != request.host) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the target names another host");
  }
  if (request.id.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "no request id");
  }
  const NameSet named = FieldsNamedByConnection(headers);
  for (const HeaderField& field : headers) {
    if (ConnectionFields().count(field.name) == 0 &&
        SystemFields().count(field.name) == 0 && named.count(field.name) == 0) {
      request.forwarded.push_back(field);
    }
  }
  return request;
}

OutgoingRequest EncodeForServer(const CallerRequest& request,
                                const SendFacts& facts) {
  OutgoingRequest sent{request.method, request.target, request.forwarded,
                       request.body};
  sent.headers.push_back(
      {wire::kDeadline,
       std::to_string(std::max<std::int64_t>(ToMillis(facts.remaining), 1))});
  sent.headers.push_back({wire::kExpectInstance, facts.server_id});
  if (!facts.organisation.empty()) {
    sent.headers.push_back({wire::kTenant, facts.organisation});
  }
  if (facts.is_late) {
    sent.headers.push_back({wire::kUrgency, kLateUrgency});
  }
  if (facts.resume_after) {
    sent.headers.push_back(
        {wire::kLastEventId, std::to_string(*facts.resume_after)});
  }
  return sent;
}

ServerAnswerHead DecodeAnswerHead(const ResponseParser& response) {
  ServerAnswerHead head;
  head.status = response.Status();
  head.request_id = std::string(response.Header(wire::kRequestId));
  head.is_signed = !response.Header(wire::kSeal).empty();
  head.not_run = head.status >= kHttpBadRequest &&
                 (!response.Header(wire::kNotExecuted).empty() ||
                  head.status == kHttpMisdirectedRequest);
  head.is_event_stream = IsEventStream(response.Header("Content-Type"));
  head.is_encoded =
      !response.Header("Content-Encoding").empty() ||
      !IsPlainTransferCoding(response.Header("Transfer-Encoding"));
  head.suspected_server = std::string(response.Header(wire::kAtServer));
  head.idle_limit = DecodeIdleLimit(response.Header("Keep-Alive"));
  DecodeRateLimit(response.Header(wire::kServerLimit), &head);
  DecodeBackoff(response.Header(wire::kRetryAfter), &head);
  head.is_leaving = response.Header(wire::kServerLeaving) == "1";
  return head;
}

HeaderList ForwardedAnswerFields(const ResponseParser& response) {
  const HeaderList all = response.Headers();
  const NameSet named = FieldsNamedByConnection(all);
  HeaderList fields;
  for (const HeaderField& field : all) {
    if (ConnectionFields().count(field.name) == 0 &&
        named.count(field.name) == 0) {
      fields.push_back(field);
    }
  }
  return fields;
}

HeaderList OwnAnswerFields(const std::string& request_id,
                           Duration retry_after) {
  HeaderList fields;
  if (!request_id.empty()) {
    fields.push_back({wire::kRequestId, request_id});
  }
  if (retry_after > Duration{0}) {
    fields.push_back(
        {wire::kRetryAfter,
         fmt::format("{:.3f}",
                     std::chrono::duration<double>(retry_after).count())});
  }
  return fields;
}

}  // namespace kumquatcart
