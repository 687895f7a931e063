#include "routing/fair_queue.h"

#include <algorithm>
#include <chrono>

namespace kumquatcart {

namespace {

// Upper bound of the predicted wait; keeps the conversion to Duration in range.
constexpr double kMaxPredictedWaitSeconds = 3600;

}  // namespace

MonotonicTime PredictStart(MonotonicTime now, double ahead, double rate) {
  if (rate <= 0) {
    return now;
  }
  const double seconds = std::min(ahead / rate, kMaxPredictedWaitSeconds);
  return now + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(seconds));
}

void FairQueue::Push(const AdmissionRequest& request, double weight) {
  Flow& flow = this->flows[request.organisation];
  if (flow.waiting.empty()) {
    flow.start_tag = std::max(flow.start_tag, this->virtual_time);
  }
  flow.weight = weight;
  const Position position(-request.priority, ++this->arrivals);
  flow.waiting.emplace(position, request);
  ++this->size;
}

std::optional<AdmissionRequest> FairQueue::Pop() {
  Flow* next = nullptr;
  for (auto& [organisation, flow] : this->flows) {
    const bool waits = !flow.waiting.empty();
    if (waits && (next == nullptr || flow.start_tag < next->start_tag)) {
      next = &flow;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  const auto first = next->waiting.begin();
  AdmissionRequest request = std::move(first->second);
  next->waiting.erase(first);
  --this->size;
  this->virtual_time = next->start_tag;
  next->start_tag += request.expected_cost / next->weight;
  return request;
}

bool FairQueue::Remove(const RequestId& request) {
  for (auto& [organisation, flow] : this->flows) {
    const auto found = std::find_if(
        flow.waiting.begin(), flow.waiting.end(),
        [&](const auto& entry) { return entry.second.request == request; });
    if (found != flow.waiting.end()) {
      flow.waiting.erase(found);
      --this->size;
      return true;
    }
  }
  return false;
}

void FairQueue::AdjustCost(const AdmissionRequest& request,
                           double actual_cost) {
  const auto found = this->flows.find(request.organisation);
  if (found == this->flows.end()) {
    return;
  }
  Flow& flow = found->second;
  flow.start_tag += (actual_cost - request.expected_cost) / flow.weight;
}

std::size_t FairQueue::CountAhead(const ObjectName& organisation,
                                  int priority) const {
  const auto found = this->flows.find(organisation);
  if (found == this->flows.end()) {
    return 0;
  }
  const auto& waiting = found->second.waiting;
  const auto behind = waiting.upper_bound(Position(-priority, this->arrivals));
  return static_cast<std::size_t>(std::distance(waiting.begin(), behind));
}

std::vector<AdmissionRequest> FairQueue::RemoveInfeasible(MonotonicTime now,
                                                          double rate) {
  std::vector<AdmissionRequest> infeasible;
  for (auto& [organisation, flow] : this->flows) {
    const double flow_rate = rate * this->Share(organisation, flow.weight);
    double ahead = 0;
    for (auto entry = flow.waiting.begin(); entry != flow.waiting.end();) {
      const MonotonicTime start = PredictStart(now, ahead, flow_rate);
      if (start <= entry->second.deadline) {
        ahead += 1;
        ++entry;
        continue;
      }
      infeasible.push_back(entry->second);
      entry = flow.waiting.erase(entry);
      --this->size;
    }
  }
  return infeasible;
}

double FairQueue::Share(const ObjectName& organisation, double weight) const {
  double sum = weight;
  for (const auto& [name, flow] : this->flows) {
    if (!flow.waiting.empty() && name != organisation) {
      sum += flow.weight;
    }
  }
  return weight / sum;
}

}  // namespace kumquatcart
