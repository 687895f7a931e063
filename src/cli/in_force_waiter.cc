#include "cli/in_force_waiter.h"

#include <set>

#include <fmt/format.h>

#include "model/member.h"

namespace kumquatcart {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(200);

void AddMembers(const Json& status, std::set<Endpoint>* endpoints) {
  if (!status.is_object() || !status.contains("members")) {
    return;
  }
  const Result<std::vector<Member>> members =
      FromJson<std::vector<Member>>(status["members"]);
  if (members.has_error()) {
    return;
  }
  for (const Member& member : members.value()) {
    if (member.state != MemberState::kDead) {
      endpoints->insert(member.identity.http_endpoint);
    }
  }
}

// Offset that the status names; kNoOffset when it names none.
Offset ReportedOffset(const Json& status) {
  if (!status.is_object() || !status.contains("config_offset") ||
      !status["config_offset"].is_number_integer()) {
    return kNoOffset;
  }
  return status["config_offset"].get<Offset>();
}

// Asks every endpoint once; members found on the way are asked too.
std::vector<LaggingNode> AskAll(OperatorBackend* backend,
                                const std::vector<Endpoint>& seeds,
                                Offset offset) {
  std::set<Endpoint> waiting(seeds.begin(), seeds.end());
  std::set<Endpoint> asked;
  std::vector<LaggingNode> lagging;
  while (!waiting.empty()) {
    const Endpoint endpoint = *waiting.begin();
    waiting.erase(waiting.begin());
    if (!asked.insert(endpoint).second) {
      continue;
    }
    const Result<Json> status = backend->FetchStatus(endpoint);
    if (status.has_error()) {
      lagging.push_back({endpoint, status.error().message});
      continue;
    }
    AddMembers(status.value(), &waiting);
    const Offset reported = ReportedOffset(status.value());
    if (reported < offset) {
      lagging.push_back({endpoint, fmt::format("is at offset {}", reported)});
    }
  }
  return lagging;
}

}  // namespace

std::vector<LaggingNode> WaitInForce(OperatorBackend* backend,
                                     Clock* clock,
                                     const std::vector<Endpoint>& seeds,
                                     Offset offset,
                                     Duration timeout) {
  const MonotonicTime end = clock->Now() + timeout;
  std::vector<LaggingNode> lagging = AskAll(backend, seeds, offset);
  while (!lagging.empty() && clock->Now() < end) {
    clock->SleepFor(kPollInterval);
    lagging = AskAll(backend, seeds, offset);
  }
  return lagging;
}

}  // namespace kumquatcart
