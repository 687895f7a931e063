// Decides which requests may hold memory while they are read.
#ifndef ENTRY_REQUEST_MEMORY_H_
#define ENTRY_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "base/clock.h"
#include "base/metrics.h"
#include "net/memory_budget.h"
#include "net/waiter.h"

namespace kumquatcart {

class ReadingRequest;

// When the budget is short, ends the large request that was received at the
// lowest rate, or refuses the one that asks for room. Small requests have a
// part of the budget to themselves. Not thread safe.
class RequestMemory {
 public:
  // Precondition: both outlive this object.
  RequestMemory(MemoryBudget* budget, MetricRegistry* metrics)
      : budget(budget), metrics(metrics) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  // Whether a body of `body_bytes` fits while nothing else is held.
  bool CanEverHold(std::size_t body_bytes) const;

 private:
  friend class ReadingRequest;

  bool MakeRoom(ReadingRequest* request, std::size_t bytes, MonotonicTime now);
  // The slowest of the large requests that may be ended for `request`; null
  // without one.
  ReadingRequest* FindSlowest(const ReadingRequest& request,
                              MonotonicTime now) const;
  // Bytes that a request with `bytes` must leave free.
  std::size_t ReserveFor(std::size_t bytes) const;
  void Count(const char* cause);

  MemoryBudget* const budget;
  MetricRegistry* const metrics;
  std::set<ReadingRequest*> reading;
};

// A request from its first byte until it is complete. Not thread safe.
class ReadingRequest {
 public:
  // `memory` may be null, which limits nothing. Precondition: `memory` and
  // `waiter` outlive this object.
  ReadingRequest(RequestMemory* memory, MonotonicTime began_at, Waiter* waiter);
  ~ReadingRequest();
  ReadingRequest(const ReadingRequest&) = delete;
  ReadingRequest& operator=(const ReadingRequest&) = delete;

  // Makes room for a body of `body_bytes`, announced or received so far.
  // Returns false if the request must be refused.
  bool Hold(std::size_t body_bytes, MonotonicTime now);
  // Sets how many bytes of the body have arrived.
  void NoteReceived(std::size_t body_bytes) { this->received = body_bytes; }
  // Whether the request was ended to make room; its waiter was notified.
  bool WasEnded() const { return this->ended; }
  // Hands over what the request holds. Precondition: it is complete.
  MemoryLease TakeLease();

 private:
  friend class RequestMemory;

  // Bytes per second since the beginning.
  double Rate(MonotonicTime now) const;

  RequestMemory* const memory;
  const MonotonicTime began_at;
  Waiter* const waiter;
  MemoryLease lease;
  std::size_t received = 0;
  bool ended = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_REQUEST_MEMORY_H_
