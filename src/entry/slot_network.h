// Connection of the slot coordination to the other entry VMs.
#ifndef ENTRY_SLOT_NETWORK_H_
#define ENTRY_SLOT_NETWORK_H_

#include <string>

#include "base/clock.h"
#include "peers/slot_message.h"

namespace kumquatcart {

// Time and messages of SlotClient and SlotCoordinator. Used on one thread.
class SlotNetwork {
 public:
  virtual ~SlotNetwork() = default;

  virtual MonotonicTime Now() const = 0;

  // The node that assigns the slots for this failure domain; may be this one.
  // Empty while that is unknown.
  virtual std::string FindCoordinator() const = 0;

  // Sends to another node. Messages may be lost, late or repeated.
  virtual void Send(const std::string& node, const SlotMessage& message) = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_SLOT_NETWORK_H_
