// The platform's store, in memory, with faults.
#ifndef SOAK_STORE_STAND_IN_H_
#define SOAK_STORE_STAND_IN_H_

#include <optional>
#include <string>

#include "common/store_topics.h"

namespace kumquatcart::soak {

enum class StoreFault {
  kNone,
  kRefuses,      // Answers every call with 503 and does nothing.
  kSilent,       // Answers nothing and does nothing while it lasts.
  kLosesAnswers  // Does what appends ask and does not answer them.
};

// Lower-case name for logs. Thread safe.
const char* ToString(StoreFault fault);

// Topics in memory behind a service whose reads wait. For the event loop's
// thread.
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
           const std::optional<std::string>& value) {
    this->topics.Put(topic, key, value);
  }

  void SetFault(StoreFault next) { this->fault = next; }

 private:
  TextAnswer Answer(const ReadRequest& request, Coroutine yield);

  EventLoop* const loop;
  TextService service;
  tools::StoreTopics topics;
  StoreFault fault = StoreFault::kNone;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_STORE_STAND_IN_H_
