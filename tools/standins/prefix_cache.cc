#include "standins/prefix_cache.h"

#include "base/ids.h"

namespace kumquatcart::standins {

namespace {

// Events kept for readers that lag, and given out at once.
constexpr std::size_t kKeptEvents = 4096;
constexpr std::size_t kEventsPerRead = 512;

// Hexadecimal digits of a prefix digest.
constexpr std::size_t kDigestLength = 16;

// Digests of the prompt up to the end of each whole block.
std::vector<std::string> BlockDigests(const std::string& prompt) {
  std::vector<std::string> digests;
  std::string chained;
  for (std::size_t end = PrefixCache::kBlockBytes; end <= prompt.size();
       end += PrefixCache::kBlockBytes) {
    chained.append(prompt, end - PrefixCache::kBlockBytes,
                   PrefixCache::kBlockBytes);
    chained = Sha256Hex(chained).substr(0, kDigestLength);
    digests.push_back(chained);
  }
  return digests;
}

}  // namespace

PrefixCache::PrefixCache(std::size_t blocks) : capacity(blocks) {}

int PrefixCache::Use(const std::string& prompt, MonotonicTime now) {
  int found = 0;
  bool unbroken = true;
  for (const std::string& digest : BlockDigests(prompt)) {
    const auto known = this->positions.find(digest);
    unbroken = unbroken && known != this->positions.end();
    if (unbroken) {
      found += kBlockTokens;
    }
    this->Store(digest, now);
  }
  return found;
}

void PrefixCache::Store(const std::string& prefix, MonotonicTime now) {
  const auto known = this->positions.find(prefix);
  if (known != this->positions.end()) {
    this->by_use.splice(this->by_use.begin(), this->by_use, known->second);
    return;
  }
  this->by_use.push_front(prefix);
  this->positions[prefix] = this->by_use.begin();
  this->Publish("stored", prefix, now);
  if (this->by_use.size() > this->capacity) {
    const std::string oldest = this->by_use.back();
    this->by_use.pop_back();
    this->positions.erase(oldest);
    this->Publish("evicted", oldest, now);
  }
}

void PrefixCache::Publish(const char* kind,
                          const std::string& prefix,
                          MonotonicTime now) {
  ++this->last_sequence;
  if (this->events_to_drop > 0) {
    --this->events_to_drop;
    return;
  }
  this->events.push_back(Timed{now, {this->last_sequence, kind, prefix}});
  if (this->events.size() > kKeptEvents) {
    this->events.pop_front();
  }
}

std::vector<CacheEvent> PrefixCache::Events(std::int64_t from,
                                            MonotonicTime until) const {
  std::vector<CacheEvent> found;
  for (const Timed& timed : this->events) {
    if (timed.event.sequence < from || timed.at > until) {
      continue;
    }
    found.push_back(timed.event);
    if (found.size() == kEventsPerRead) {
      break;
    }
  }
  return found;
}

}  // namespace kumquatcart::standins
