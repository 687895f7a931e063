// Prompt prefixes that an engine keeps, without I/O.
#ifndef STANDINS_PREFIX_CACHE_H_
#define STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart::standins {

// One change of the cache's content.
struct CacheEvent {
  std::int64_t sequence = 0;  // Grows by one from event to event, from 1.
  std::string kind;           // "stored" or "evicted".
  std::string prefix;         // Digest of the prompt up to a block's end.

  auto Tie() const {
    return std::tie(this->sequence, this->kind, this->prefix);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CacheEvent, sequence, kind, prefix)

// Least recently used blocks of prompts; a block counts as cached only when
// every block before it is. Not thread safe.
class PrefixCache {
 public:
  // Bytes of prompt in one block, and the tokens they stand for.
  static constexpr std::size_t kBlockBytes = 64;
  static constexpr int kBlockTokens = 16;

  explicit PrefixCache(std::size_t blocks);

  // Prompt tokens found; stores the rest.
  int Use(const std::string& prompt, MonotonicTime now);

  // Events from `from` on that happened before `until`, bounded.
  std::vector<CacheEvent> Events(std::int64_t from, MonotonicTime until) const;

  // Leaves out the next `count` events, as a lossy channel does.
  void DropEvents(int count) { this->events_to_drop += count; }

 private:
  struct Timed {
    MonotonicTime at;
    CacheEvent event;
  };

  void Publish(const char* kind, const std::string& prefix, MonotonicTime now);
  void Store(const std::string& prefix, MonotonicTime now);

  std::size_t capacity;
  std::list<std::string> by_use;  // Most recent first.
  std::map<std::string, std::list<std::string>::iterator> positions;
  std::deque<Timed> events;
  std::int64_t last_sequence = 0;
  int events_to_drop = 0;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_PREFIX_CACHE_H_
