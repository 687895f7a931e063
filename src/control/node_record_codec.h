// Encoding of the records in which entry VMs announce themselves in the store.
#ifndef CONTROL_NODE_RECORD_CODEC_H_
#define CONTROL_NODE_RECORD_CODEC_H_

#include <string>
#include <tuple>

#include "base/comparable.h"
#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart {

// What an entry VM announces; its name is the record's key.
struct NodeRecord {
  Endpoint endpoint;  // Where it accepts peers.
  std::string failure_domain;
  double cores = 0;  // 0 where not given.

  auto Tie() const {
    return std::tie(this->endpoint, this->failure_domain, this->cores);
  }
};

// Thread safe.
std::string EncodeNodeRecord(const NodeRecord& record);

// The endpoint of a decoded record has a numeric address. Errors:
// kInvalidArgument. Thread safe.
Result<NodeRecord> DecodeNodeRecord(const std::string& text);

}  // namespace kumquatcart

#endif  // CONTROL_NODE_RECORD_CODEC_H_
