#include "entry/request_memory.h"

#include <algorithm>

#include "entry/entry_constants.h"

namespace kumquatcart {

namespace {

// Copies of a body: the one that is kept for retries and the one that is sent.
constexpr std::size_t kBodyCopies = 2;
// What a small request holds at most.
constexpr std::size_t kSmallRequestBytes = kBodyCopies * 64 * 1024;
// Part of the capacity that only small requests take.
constexpr std::size_t kSmallRequestsDivisor = 8;

}  // namespace

bool RequestMemory::CanEverHold(std::size_t body_bytes) const {
  const std::size_t bytes = kBodyCopies * body_bytes;
  return bytes + this->ReserveFor(bytes) <= this->budget->Capacity();
}

std::size_t RequestMemory::ReserveFor(std::size_t bytes) const {
  return bytes <= kSmallRequestBytes
             ? 0
             : this->budget->Capacity() / kSmallRequestsDivisor;
}

void RequestMemory::Count(const char* cause) {
  this->metrics
      ->GetCounter("kumquatcart_memory_refusals_total", {{"cause", cause}})
      .Add();
}

ReadingRequest* RequestMemory::FindSlowest(const ReadingRequest& request,
                                           MonotonicTime now) const {
  ReadingRequest* slowest = nullptr;
  for (ReadingRequest* other : this->reading) {
    const bool may_end = other != &request && !other->ended &&
                         other->lease.Bytes() > kSmallRequestBytes &&
                         now - other->began_at >= kMinReadTime;
    if (may_end &&
        (slowest == nullptr || other->Rate(now) < slowest->Rate(now))) {
      slowest = other;
    }
  }
  const bool is_faster = slowest != nullptr &&
                         now - request.began_at >= kMinReadTime &&
                         slowest->Rate(now) >= request.Rate(now);
  return is_faster ? nullptr : slowest;
}

bool RequestMemory::MakeRoom(ReadingRequest* request,
                             std::size_t bytes,
                             MonotonicTime now) {
  const std::size_t more = bytes - request->lease.Bytes();
  while (this->budget->Free() < more + this->ReserveFor(bytes)) {
    ReadingRequest* slowest = this->FindSlowest(*request, now);
    if (slowest == nullptr) {
      this->Count("refused");
      return false;
    }
    slowest->ended = true;
    slowest->lease.Set(0);
    slowest->waiter->Notify();
    this->Count("ended");
  }
  return true;
}

ReadingRequest::ReadingRequest(RequestMemory* memory,
                               MonotonicTime began_at,
                               Waiter* waiter)
    : memory(memory), began_at(began_at), waiter(waiter) {
  if (memory != nullptr) {
    this->lease = MemoryLease(memory->budget, MemoryUse::kRequest);
    memory->reading.insert(this);
  }
}

ReadingRequest::~ReadingRequest() {
  if (this->memory != nullptr) {
    this->memory->reading.erase(this);
  }
}

double ReadingRequest::Rate(MonotonicTime now) const {
  const std::chrono::duration<double> age = now - this->began_at;
  return static_cast<double>(this->received) / std::max(age.count(), 1e-3);
}

bool ReadingRequest::Hold(std::size_t body_bytes, MonotonicTime now) {
  if (this->ended) {
    return false;
  }
  const std::size_t bytes = kBodyCopies * body_bytes;
  if (this->memory == nullptr || bytes <= this->lease.Bytes()) {
    return true;
  }
  if (!this->memory->MakeRoom(this, bytes, now)) {
    return false;
  }
  this->lease.Set(bytes);
  return true;
}

MemoryLease ReadingRequest::TakeLease() {
  return std::move(this->lease);
}

}  // namespace kumquatcart
