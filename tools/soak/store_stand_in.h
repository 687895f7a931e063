// The platform's store, in memory, with faults.
#ifndef SOAK_STORE_STAND_IN_H_
#define SOAK_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/simple_http_server.h"
#include "soak/store_calls.h"

namespace kumquatcart::soak {

enum class StoreFault {
  kNone,
  kRefuses,  // Answers every call with 503 and does nothing.
  // Answers and does nothing while it lasts. Calls that fall into it are lost:
  // their connections stay open and return nothing further.
  kSilent,
  kLosesAnswers  // Does what appends ask and does not answer them.
};

// Lower-case name for logs. Thread safe.
const char* ToString(StoreFault fault);

struct StoreRecord {
  std::string key;
  std::optional<std::string> value;  // None: the key was dropped.
  MonotonicTime written_at;
};

// Keeps the topics whose names begin with "keyed."; offsets have no gaps. For
// the event loop's thread.
class StoreStandIn {
 public:
  using Topics = std::map<std::string, std::vector<StoreRecord>>;

  // `names_era`: whether its answers carry the era.
  explicit StoreStandIn(EventLoop* loop, bool names_era = true);

  // Errors: kUnavailable.
  Status Start(const TcpEndpoint& listen) {
    return this->service.Start(listen);
  }

  // Writes as the operator or a server does, whatever the fault. No value drops
  // the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::optional<std::string>& value);

  void SetFault(StoreFault next);

  // While it is away it refuses every call, whatever the fault.
  void SetAway(bool next);
  // Forgets what was written in the last `age`, and raises the era by one.
  // Returns the forgotten records of each topic, in order.
  Topics RollBack(Duration age);

  // Since when no fault has lasted and it has not been away; none otherwise.
  std::optional<MonotonicTime> SoundSince() const {
    return this->fault == StoreFault::kNone && !this->away
               ? std::optional(this->changed_at)
               : std::nullopt;
  }

  // Those of the processes, in all.
  const StoreCalls& Calls() const { return this->calls; }

 private:
  using Query = std::map<std::string, std::string>;

  SimpleHttpResponse Answer(const ParsedRequest& request, Coroutine yield);
  SimpleHttpResponse Handle(const ParsedRequest& request, Coroutine yield);
  SimpleHttpResponse Append(const Query& query, const std::string& body);
  SimpleHttpResponse Read(const Query& query, Coroutine yield);
  SimpleHttpResponse Newest(const Query& query);

  EventLoop* const loop;
  const bool names_era;
  SimpleHttpServer service;
  Topics topics;
  StoreCalls calls;
  std::int64_t era = 1;
  bool away = false;
  StoreFault fault = StoreFault::kNone;
  MonotonicTime changed_at;  // Of the fault, or of being away.
  int silences = 0;          // Begun so far.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_STORE_STAND_IN_H_
