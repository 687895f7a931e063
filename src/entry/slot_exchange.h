// Exchange of slot messages over the digest socket.
#ifndef ENTRY_SLOT_EXCHANGE_H_
#define ENTRY_SLOT_EXCHANGE_H_

#include <functional>
#include <string>

#include "entry/slot_client.h"
#include "entry/slot_coordinator.h"
#include "entry/slot_network.h"
#include "peers/digest_exchange.h"

namespace kumquatcart {

// Connects the slot coordination to the event loop and the peers. Used on the
// event loop's thread.
class SlotExchange : public SlotNetwork {
 public:
  // The referents of the pointers must outlive this object. `is_stopping`:
  // whether this process is shutting down.
  SlotExchange(EventLoop* loop,
               PeerDirectory* peers,
               DigestExchange* digests,
               std::function<bool()> is_stopping);

  MonotonicTime Now() const override { return this->loop->Now(); }
  std::string FindCoordinator() const override;
  void Send(const std::string& node, const SlotMessage& message) override;

  // Passes a received message to the part that it is for. Returns false for a
  // datagram of another kind.
  static bool HandleDatagram(const std::string& bytes,
                             SlotClient* client,
                             SlotCoordinator* coordinator);

  // Reports the slots in use several times a second until the process ends.
  void StartReports(SlotClient* client);

 private:
  EventLoop* const loop;
  PeerDirectory* const peers;
  DigestExchange* const digests;
  const std::function<bool()> is_stopping;
  const MonotonicTime started_at;
};

}  // namespace kumquatcart

#endif  // ENTRY_SLOT_EXCHANGE_H_
