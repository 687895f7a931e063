// Weighted fair queue of requests, one flow for each organisation.
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

// When a request with `ahead` others before it starts while `rate` start a
// second; `now` when the rate is zero or below, since nothing is known then.
MonotonicTime PredictStart(MonotonicTime now, double ahead, double rate);

// Start-time fair queueing: an organisation's cost over its weight advances its
// own virtual time, and the organisation furthest behind goes next. Inside an
// organisation the higher priority goes first, then the earlier arrival. An
// organisation gains nothing by having been idle. Not thread safe.
class FairQueue {
 public:
  // Precondition: `weight` is above zero; `request.expected_cost` is above
  // zero.
  void Push(const AdmissionRequest& request, double weight);

  // Takes the next request, or none when empty.
  std::optional<AdmissionRequest> Pop();

  // Removes a waiting request. False when it is not there.
  bool Remove(const RequestId& request);

  // Corrects the account of an organisation once the real cost of a popped
  // request is known.
  void Settle(const AdmissionRequest& request, double real_cost);

  std::size_t Size() const { return this->size; }

  // Requests of the organisation that would go before a new one of `priority`.
  std::size_t CountAhead(const ObjectName& organisation, int priority) const;

  // Takes out the requests that cannot start by their deadline while `rate`
  // requests a second start and every present flow stays busy. A rate of zero
  // or below takes out those already late.
  std::vector<AdmissionRequest> TakeHopeless(MonotonicTime now, double rate);

  // The organisation's part of the service while every present flow stays busy,
  // 0 to 1, counting it as present with `weight`.
  double Share(const ObjectName& organisation, double weight) const;

 private:
  // Higher priority first, then arrival.
  using Position = std::pair<int, std::uint64_t>;

  struct Flow {
    double weight = 1;
    double virtual_start = 0;
    std::map<Position, AdmissionRequest> waiting;
  };

  std::map<ObjectName, Flow> flows;
  double virtual_now = 0;
  std::uint64_t arrivals = 0;
  std::size_t size = 0;
};

}  // namespace kumquatcart

#endif  // ROUTING_FAIR_QUEUE_H_
