#include "gateway/answer_format.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace kumquatcart {

namespace {

const char* FinishReason(int tokens, int max_tokens) {
  return tokens >= max_tokens ? "length" : "stop";
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsPlainJsonByte(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kFirstNonAscii = 0x80;
  return code >= kFirstPrintable && code < kFirstNonAscii && byte != '"' &&
         byte != '\\';
}

Json MakeErrorJson(const Error& error,
                   RequestOutcome outcome,
                   const RequestId& request) {
  Json json = {{"message", error.message},
               {"code", ToString(error.code)},
               {"outcome", ToString(outcome)},
               {"request_id", request}};
  if (error.retry_after_ms > 0) {
    json["retry_after_ms"] = error.retry_after_ms;
  }
  return Json{{"error", std::move(json)}};
}

}  // namespace

AnswerFormat::AnswerFormat(const CompletionRequest& request,
                           const RequestId& id,
                           std::int64_t created_unix_s)
    : kind(request.kind),
      id(id.value),
      model(request.service.value),
      created_unix_s(created_unix_s) {
  const bool chat = this->kind == CompletionKind::kChat;
  std::string& prefix = this->token_event_prefix;
  prefix = "data: {\"id\":\"";
  AppendJsonEscaped(this->id, &prefix);
  prefix += "\",\"object\":\"";
  prefix += chat ? "chat.completion.chunk" : "text_completion";
  prefix += "\",\"created\":" + std::to_string(created_unix_s);
  prefix += ",\"model\":\"";
  AppendJsonEscaped(this->model, &prefix);
  prefix += "\",\"choices\":[{\"index\":0,";
  prefix += chat ? "\"delta\":{\"content\":\"" : "\"text\":\"";
  this->token_event_suffix = chat ? "\"}" : "\"";
  this->token_event_suffix += ",\"finish_reason\":null}]}\n\n";
}

void AnswerFormat::AppendToken(std::string_view token, std::string* out) const {
  out->append(this->token_event_prefix);
  AppendJsonEscaped(token, out);
  out->append(this->token_event_suffix);
}

std::string AnswerFormat::FinishEvent(int tokens, int max_tokens) const {
  const bool chat = this->kind == CompletionKind::kChat;
  Json choice = {{"index", 0},
                 {"finish_reason", FinishReason(tokens, max_tokens)}};
  if (chat) {
    choice["delta"] = Json::object();
  } else {
    choice["text"] = "";
  }
  const Json event = {
      {"id", this->id},
      {"object", chat ? "chat.completion.chunk" : "text_completion"},
      {"created", this->created_unix_s},
      {"model", this->model},
      {"choices", Json::array({choice})}};
  return "data: " + Dump(event) + "\n\n";
}

std::string AnswerFormat::WholeBody(const std::string& text,
                                    int tokens,
                                    int max_tokens) const {
  const bool chat = this->kind == CompletionKind::kChat;
  Json choice = {{"index", 0},
                 {"finish_reason", FinishReason(tokens, max_tokens)}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const Json body = {{"id", this->id},
                     {"object", chat ? "chat.completion" : "text_completion"},
                     {"created", this->created_unix_s},
                     {"model", this->model},
                     {"choices", Json::array({choice})},
                     {"usage", {{"completion_tokens", tokens}}}};
  return Dump(body);
}

std::string FormatErrorBody(const Error& error,
                            RequestOutcome outcome,
                            const RequestId& request) {
  return Dump(MakeErrorJson(error, outcome, request));
}

std::string FormatErrorEvent(const Error& error,
                             RequestOutcome outcome,
                             const RequestId& request) {
  return "event: error\ndata: " + FormatErrorBody(error, outcome, request) +
         "\n\n";
}

void AppendJsonEscaped(std::string_view text, std::string* out) {
  if (std::all_of(text.begin(), text.end(), IsPlainJsonByte)) {
    out->append(text);
    return;
  }
  const std::string quoted = Dump(Json(text));
  out->append(quoted, 1, quoted.size() - 2);
}

}  // namespace kumquatcart
