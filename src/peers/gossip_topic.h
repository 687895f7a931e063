// Interface of state that is replicated between entry VMs.
#ifndef PEERS_GOSSIP_TOPIC_H_
#define PEERS_GOSSIP_TOPIC_H_

#include <cstddef>
#include <string>

#include "base/json.h"
#include "base/outcome.h"

namespace kumquatcart {

// Peers with which a topic is exchanged.
enum class TopicScope { kEverywhere, kFailureDomain };

// One kind of versioned state, registered with the peer network. Merging is
// idempotent and commutative. All methods are called from several threads and
// must be thread safe.
class GossipTopic {
 public:
  virtual ~GossipTopic() = default;

  // Short, stable name, identical on every node.
  virtual std::string Name() const = 0;

  // Scope of replication, identical on every node.
  virtual TopicScope Scope() const { return TopicScope::kEverywhere; }

  // Compact summary of the local state.
  virtual Json Digest() const = 0;

  // Changes that a peer with `digest` lacks, limited to about `max_bytes`; null
  // if there are none. `digest` is untrusted input. Errors: kInvalidArgument if
  // it is malformed.
  virtual Result<Json> DeltaFor(const Json& digest,
                                std::size_t max_bytes) const = 0;

  // Applies the newer parts of `delta`. Returns true if the state changed; the
  // change is then pushed to other peers. `delta` is untrusted input. Errors:
  // kInvalidArgument if it is malformed; the state is then unchanged.
  virtual Result<bool> Merge(const Json& delta) = 0;
};

}  // namespace kumquatcart

#endif  // PEERS_GOSSIP_TOPIC_H_
