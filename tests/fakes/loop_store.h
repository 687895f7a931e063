// The platform's store on the event loop, as far as tests of its callers need
// it.
#ifndef FAKES_LOOP_STORE_H_
#define FAKES_LOOP_STORE_H_

#include <optional>
#include <string>

#include "common/loopback.h"
#include "common/store_topics.h"
#include "entry/text_service.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Keeps topics in memory and speaks the store's calls; reads do not wait.
class LoopStore {
 public:
  explicit LoopStore(EventLoop* loop)
      : address(tools::FreeLoopbackAddress(loop)),
        service(loop, [this](const ReadRequest& request, Coroutine) {
          return this->Answer(request);
        }) {
    if (this->service.Start(this->address).has_error()) {
      std::abort();
    }
  }

  const TcpEndpoint& Address() const { return this->address; }

  // Adds a record; an empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    this->topics.Put(topic, key,
                     value.empty() ? std::nullopt : std::optional(value));
  }

  std::size_t End(const std::string& topic) { return this->topics.End(topic); }

  // Records before this offset are gone, as after retention.
  void Expire(const std::string& topic) { this->topics.Expire(topic); }

  // Answers every call with this status, when set.
  std::optional<int> refusal;
  int calls = 0;

 private:
  TextAnswer Answer(const ReadRequest& request) {
    ++this->calls;
    return this->refusal ? TextAnswer{*this->refusal, ""}
                         : this->topics.Answer(tools::DecodeStoreCall(request));
  }

  const TcpEndpoint address;
  tools::StoreTopics topics;
  TextService service;
};

}  // namespace kumquatcart

#endif  // FAKES_LOOP_STORE_H_
