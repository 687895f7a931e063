#include "load/execution_check.h"

#include <map>

#include "model/request.h"

namespace kumquatcart::load {

namespace {

int CountOf(const std::map<std::string, int>& counts, const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

// How often the request was executed; for a key, under any request id.
int ExecutionsOf(const SentRequest& sent,
                 const standins::ExecutionCounts& counts) {
  switch (sent.kind) {
    case RequestKind::kStreamed:
    case RequestKind::kWhole:
      return CountOf(counts.generations, sent.request_id);
    case RequestKind::kKeyed:
      return CountOf(counts.by_key, sent.key);
    case RequestKind::kIdempotent:
    case RequestKind::kNonIdempotent:
      return CountOf(counts.by_request, sent.request_id);
  }
  return 0;
}

bool RunsOnceAtMost(RequestKind kind) {
  return kind == RequestKind::kNonIdempotent || kind == RequestKind::kKeyed;
}

}  // namespace

ExecutionFindings CheckExecutions(const std::vector<SentRequest>& sent,
                                  const standins::ExecutionCounts& counts) {
  ExecutionFindings findings;
  findings.checked = true;
  for (const SentRequest& request : sent) {
    // A refused first try of a key may run when it is repeated.
    if (!request.is_last_of_key) {
      continue;
    }
    const int executions = ExecutionsOf(request, counts);
    const std::string& outcome = request.verdict.outcome;
    if (RunsOnceAtMost(request.kind) && executions > 1) {
      findings.doubles.push_back(request.request_id);
    }
    if (outcome == ToString(RequestOutcome::kNotRun) && executions > 0) {
      findings.ran_though_refused.push_back(request.request_id);
    }
    if (RunsOnceAtMost(request.kind) && request.verdict.status == 200 &&
        outcome == ToString(RequestOutcome::kCompleted) && executions == 0) {
      findings.never_ran.push_back(request.request_id);
    }
  }
  return findings;
}

}  // namespace kumquatcart::load
