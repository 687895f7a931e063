// State that entry VMs replicate among one another.
#ifndef PEERS_GOSSIP_TOPIC_H_
#define PEERS_GOSSIP_TOPIC_H_

#include <cstddef>
#include <string>

#include "base/json.h"
#include "base/outcome.h"

namespace kumquatcart {

// Which peers a topic is exchanged with.
enum class TopicScope { kEverywhere, kFailureDomain };

// One kind of versioned state. A feature joins the peer network by registering
// a topic. Merging is idempotent and commutative. All methods are called from
// several threads and must be thread safe.
class GossipTopic {
 public:
  virtual ~GossipTopic() = default;

  // Stable short name, the same on every node.
  virtual std::string Name() const = 0;

  // Where the topic goes; the same on every node.
  virtual TopicScope Scope() const { return TopicScope::kEverywhere; }

  // Summary of what this node holds, as small as possible.
  virtual Json Digest() const = 0;

  // What a peer whose summary is `digest` lacks, about `max_bytes` at most;
  // null when nothing. `digest` comes from outside: anything malformed is
  // kInvalidArgument.
  virtual Result<Json> DeltaFor(const Json& digest,
                                std::size_t max_bytes) const = 0;

  // Takes over what is newer in `delta`. Returns true when something was, so
  // that it is pushed on. `delta` comes from outside: anything malformed is
  // kInvalidArgument and changes nothing.
  virtual Result<bool> Merge(const Json& delta) = 0;
};

}  // namespace kumquatcart

#endif  // PEERS_GOSSIP_TOPIC_H_
