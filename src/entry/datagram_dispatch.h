// Passes decoded datagrams of one kind to their handler.
#ifndef ENTRY_DATAGRAM_DISPATCH_H_
#define ENTRY_DATAGRAM_DISPATCH_H_

#include <optional>

#include "base/logging.h"
#include "base/outcome.h"

namespace kumquatcart {

// Calls `handle` with the message of a datagram, and logs one that is malformed
// as the event `ignored_event`. Returns false if the datagram is of another
// kind. Thread safe if `handle` is.
template <class Message, class Handler>
bool DispatchDatagram(const std::optional<Result<Message>>& message,
                      const char* ignored_event,
                      const Handler& handle) {
  if (!message) {
    return false;
  }
  if (message->has_error()) {
    LogWarning(ignored_event, {{"reason", message->error().message}});
  } else {
    handle(message->value());
  }
  return true;
}

}  // namespace kumquatcart

#endif  // ENTRY_DATAGRAM_DISPATCH_H_
