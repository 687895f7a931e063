#include "entry/slot_exchange.h"

#include <utility>
#include <variant>

#include "base/logging.h"
#include "entry/datagram_dispatch.h"

namespace kumquatcart {

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(200);
// Time after the start in which a node that has not been heard of may precede
// this one. All nodes of a deployment start at the same time, and each would
// otherwise take itself for the coordinator.
constexpr Duration kStartGrace = std::chrono::seconds(2);

// Calls the method for the kind of a message.
struct MessageDispatcher {
  void operator()(const SlotAsk& ask) const { coordinator->HandleAsk(ask); }
  void operator()(const SlotReply& reply) const { client->HandleReply(reply); }
  void operator()(const SlotReturn& slot) const {
    coordinator->HandleReturn(slot);
  }
  void operator()(const SlotReport& report) const {
    coordinator->HandleReport(report);
  }

  SlotClient* client;
  SlotCoordinator* coordinator;
};

}  // namespace

SlotExchange::SlotExchange(EventLoop* loop,
                           PeerDirectory* peers,
                           DigestExchange* digests,
                           std::function<bool()> is_stopping)
    : loop(loop),
      peers(peers),
      digests(digests),
      is_stopping(std::move(is_stopping)),
      started_at(loop->Now()) {}

std::string SlotExchange::FindCoordinator() const {
  const MonotonicTime now = this->loop->Now();
  return this->peers->FindSlotCoordinator(
      this->is_stopping(),
      /*include_silent=*/now - this->started_at < kStartGrace, now);
}

void SlotExchange::Send(const std::string& node, const SlotMessage& message) {
  const auto peer = this->peers->Peers().find(node);
  if (peer == this->peers->Peers().end()) {
    LogWarning("slot_message_dropped", {{"peer", node}});
    return;
  }
  this->digests->SendMessage(EncodeSlotMessage(message), peer->second);
}

bool SlotExchange::HandleDatagram(const std::string& bytes,
                                  SlotClient* client,
                                  SlotCoordinator* coordinator) {
  return DispatchDatagram(
      DecodeSlotMessage(bytes), "slot_message_ignored",
      [client, coordinator](const SlotMessage& message) {
        std::visit(MessageDispatcher{client, coordinator}, message);
      });
}

void SlotExchange::StartReports(SlotClient* client) {
  this->loop->Spawn([this, client](Coroutine yield) {
    for (;;) {
      this->loop->Sleep(kReportInterval, yield);
      client->Report();
    }
  });
}

}  // namespace kumquatcart
