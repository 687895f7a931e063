#include "soak/server_host.h"

#include <utility>

#include "soak/loopback.h"

namespace kumquatcart::soak {

const char* ToString(StoreCut cut) {
  constexpr const char* kNames[] = {"none", "entry_lapses", "entry_stays"};
  return kNames[static_cast<int>(cut)];
}

Status ServerHost::Start() {
  this->address = FreeLoopbackAddress(this->loop, kServersHost);
  this->proxy = std::make_unique<TcpProxy>(this->loop, this->address);
  this->proxy->SetState(LinkState::kRefused);
  return this->proxy->Start(this->address);
}

void ServerHost::Attach(const TcpEndpoint& target,
                        std::function<void()> on_reconnect) {
  this->proxy->SetTarget(target);
  this->proxy->SetState(LinkState::kSound);
  this->reconnected = std::move(on_reconnect);
}

void ServerHost::Detach(bool silences_open) {
  this->proxy->SetState(silences_open ? LinkState::kSilentRefused
                                      : LinkState::kRefused);
  this->reconnected = nullptr;
}

void ServerHost::SetStoreCut(StoreCut next) {
  this->store_cut = next;
  if (next == StoreCut::kNone && this->reconnected) {
    this->reconnected();
  }
}

}  // namespace kumquatcart::soak
