// Bodies of requests and what becomes of them on the way to an engine.
#ifndef LOAD_PROMPTS_H_
#define LOAD_PROMPTS_H_

#include <string>

#include "load/caller_file.h"
#include "load/http_call.h"
#include "load/schedule.h"

namespace kumquatcart::load {

// The prompt that reaches the engine.
std::string EnginePrompt(const PlannedRequest& request);

// The body that reaches a plain service.
std::string ServiceBody(const PlannedRequest& request);

// The HTTP request to an entry VM, without endpoint and timeout.
CallRequest MakeCall(const PlannedRequest& request, const Caller& caller);

}  // namespace kumquatcart::load

#endif  // LOAD_PROMPTS_H_
