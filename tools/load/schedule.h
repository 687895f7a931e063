// Which requests are sent when, as a pure function of the seed.
#ifndef LOAD_SCHEDULE_H_
#define LOAD_SCHEDULE_H_

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "load/caller_file.h"
#include "load/load_settings.h"

namespace kumquatcart::load {

enum class RequestKind {
  kStreamed,
  kWhole,
  kIdempotent,
  kNonIdempotent,
  kKeyed,
};
const char* ToString(RequestKind kind);

// One request, with everything that decides its answer.
struct PlannedRequest {
  RequestKind kind = RequestKind::kStreamed;
  Duration at{};  // From the start of the run.
  std::size_t caller = 0;
  std::size_t entry = 0;
  std::string request_id;
  std::string key;     // Keyed requests only.
  std::string prompt;  // Model services: the text; plain services: the body.
  int max_tokens = 0;
  bool repeated = false;  // Sent again through the next entry VM.

  auto Tie() const {
    return std::tie(this->kind, this->at, this->caller, this->entry,
                    this->request_id, this->key, this->prompt, this->max_tokens,
                    this->repeated);
  }
};

// Arrivals are a Poisson process, whatever the answers do. `run` makes
// request ids and keys differ from run to run. Preconditions: there are callers
// and entries.
std::vector<PlannedRequest> PlanRequests(const LoadSettings& settings,
                                         const std::vector<Caller>& callers,
                                         const std::string& run);

}  // namespace kumquatcart::load

#endif  // LOAD_SCHEDULE_H_
