// The records of the platform's store, and its answers to calls.
#ifndef COMMON_STORE_TOPICS_H_
#define COMMON_STORE_TOPICS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/text_service.h"

namespace kumquatcart::tools {

// A call to the store.
struct StoreCall {
  enum class Kind { kAppend, kRead, kNewest, kUnknown };

  Kind kind = Kind::kUnknown;
  std::string topic;
  std::optional<std::int64_t> at;  // Append only if the topic ends there.
  std::size_t from = 0;
  Duration wait{0};  // For the first record of a read.
  std::string body;
};

// Precondition: the query's numbers are numbers. Thread safe.
StoreCall DecodeStoreCall(const ReadRequest& request);

// Keeps topics in memory, with the newest record of each key. Not thread safe.
class StoreTopics {
 public:
  // No value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::optional<std::string>& value);

  std::size_t End(const std::string& topic) {
    return this->topics[topic].records.size();
  }

  // Records before the topic's end are gone, as after retention; the newest of
  // each key stay.
  void Expire(const std::string& topic);

  // Does not wait.
  TextAnswer Answer(const StoreCall& call);

 private:
  struct Record {
    std::string key;
    std::optional<std::string> value;
  };
  struct Topic {
    std::vector<Record> records;
    std::size_t first = 0;  // Offset of the first that is not gone.
  };

  TextAnswer Append(const StoreCall& call);
  TextAnswer Read(const StoreCall& call);
  TextAnswer Newest(const StoreCall& call);

  std::map<std::string, Topic> topics;
};

}  // namespace kumquatcart::tools

#endif  // COMMON_STORE_TOPICS_H_
