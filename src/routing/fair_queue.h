// Weighted fair queue of requests with one flow per organisation.
#ifndef ROUTING_FAIR_QUEUE_H_
#define ROUTING_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "routing/admission.h"

namespace kumquatcart {

// Predicted start time of a request behind `ahead` others when `rate` requests
// start per second. Returns `now` if the rate is not positive, because no
// prediction is possible then. The predicted wait is capped at one hour.
MonotonicTime PredictStart(MonotonicTime now, double ahead, double rate);

// Start-time fair queueing (SFQ): each request advances the start tag of its
// organisation by its cost divided by the weight, and the organisation with the
// lowest start tag is served next. Within an organisation, requests are ordered
// by priority, highest first, then by arrival. An idle organisation accumulates
// no credit. Not thread safe.
class FairQueue {
 public:
  // Precondition: `weight` and `request.expected_cost` are positive.
  void Push(const AdmissionRequest& request, double weight);

  // Removes and returns the next request; nullopt if the queue is empty.
  std::optional<AdmissionRequest> Pop();

  // Removes a queued request. Returns false if it is not queued.
  bool Remove(const RequestId& request);

  // Corrects the start tag of the organisation when the actual cost of a popped
  // request is known.
  void AdjustCost(const AdmissionRequest& request, double actual_cost);

  std::size_t Size() const { return this->size; }

  // Queued requests of the organisation that precede a new one of `priority`.
  std::size_t CountAhead(const ObjectName& organisation, int priority) const;

  // Removes and returns the requests that cannot start by their deadline when
  // `rate` requests start per second and all queued flows stay backlogged. If
  // the rate is not positive, removes those whose deadline has passed.
  std::vector<AdmissionRequest> RemoveInfeasible(MonotonicTime now,
                                                 double rate);

  // Fraction of the service, 0 to 1, that the organisation gets with `weight`
  // while all queued flows stay backlogged.
  double Share(const ObjectName& organisation, double weight) const;

 private:
  // Negated priority, then arrival number.
  using Position = std::pair<int, std::uint64_t>;

  struct Flow {
    double weight = 1;
    double start_tag = 0;
    std::map<Position, AdmissionRequest> waiting;
  };

  std::map<ObjectName, Flow> flows;
  double virtual_time = 0;
  std::uint64_t arrivals = 0;
  std::size_t size = 0;
};

}  // namespace kumquatcart

#endif  // ROUTING_FAIR_QUEUE_H_
