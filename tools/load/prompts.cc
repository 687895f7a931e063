#include "load/prompts.h"

#include "base/json.h"
#include "model/request.h"

namespace kumquatcart::load {

namespace {

Json ModelBody(const PlannedRequest& request, const Caller& caller) {
  Json body = {{"model", caller.model_service},
               {"max_tokens", request.max_tokens}};
  if (request.kind == RequestKind::kStreamed) {
    body["stream"] = true;
    body["messages"] =
        Json::array({Json{{"role", "user"}, {"content", request.prompt}}});
  } else {
    body["prompt"] = request.prompt;
  }
  return body;
}

}  // namespace

std::string EnginePrompt(const PlannedRequest& request) {
  return request.kind == RequestKind::kStreamed
             ? "user: " + request.prompt + "\n"
             : request.prompt;
}

std::string ServiceBody(const PlannedRequest& request) {
  if (request.kind == RequestKind::kIdempotent) {
    return "";
  }
  return Json{{"text", request.prompt}}.dump();
}

CallRequest MakeCall(const PlannedRequest& request, const Caller& caller) {
  CallRequest call;
  call.headers = {{"Authorization", "Bearer " + caller.token},
                  {kRequestIdHeader, request.request_id},
                  {"Content-Type", "application/json"}};
  if (!request.key.empty()) {
    call.headers.push_back({kIdempotencyKeyHeader, request.key});
  }
  const std::string services = "/services/" + caller.plain_service + "/";
  call.method = "POST";
  switch (request.kind) {
    case RequestKind::kStreamed:
      call.target = "/v1/chat/completions";
      call.body = ModelBody(request, caller).dump();
      return call;
    case RequestKind::kWhole:
      call.target = "/v1/completions";
      call.body = ModelBody(request, caller).dump();
      return call;
    case RequestKind::kIdempotent:
      call.method = "GET";
      call.target = services + caller.idempotent_path;
      return call;
    case RequestKind::kNonIdempotent:
    case RequestKind::kKeyed:
      call.target = services + caller.non_idempotent_path;
      call.body = ServiceBody(request);
      return call;
  }
  return call;
}

}  // namespace kumquatcart::load
