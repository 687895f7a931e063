// The platform's store, in memory, with faults.
#ifndef SOAK_STORE_STAND_IN_H_
#define SOAK_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/simple_http_server.h"

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

// Keeps the topics whose names begin with "keyed."; offsets have no gaps. For
// the event loop's thread.
class StoreStandIn {
 public:
  explicit StoreStandIn(EventLoop* loop);

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

  // Since when no fault has lasted; none while one does.
  std::optional<MonotonicTime> SoundSince() const {
    return this->fault == StoreFault::kNone ? std::optional(this->changed_at)
                                            : std::nullopt;
  }

 private:
  struct Record {
    std::string key;
    std::optional<std::string> value;
  };
  using Query = std::map<std::string, std::string>;

  SimpleHttpResponse Answer(const ParsedRequest& request, Coroutine yield);
  SimpleHttpResponse Handle(const ParsedRequest& request, Coroutine yield);
  SimpleHttpResponse Append(const Query& query, const std::string& body);
  SimpleHttpResponse Read(const Query& query, Coroutine yield);
  SimpleHttpResponse Newest(const Query& query);

  EventLoop* const loop;
  SimpleHttpServer service;
  std::map<std::string, std::vector<Record>> topics;
  StoreFault fault = StoreFault::kNone;
  MonotonicTime changed_at;  // Of the fault.
  int silences = 0;          // Begun so far.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_STORE_STAND_IN_H_
