#include "peers/link_table.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "peers/peer_constants.h"

namespace kumquatcart {

LinkTable::LinkTable(Clock* clock,
                     PeerTransport* transport,
                     std::string shared_key,
                     MetricRegistry* metrics)
    : clock(clock),
      transport(transport),
      shared_key(std::move(shared_key)),
      metrics(metrics),
      bytes_sent(&metrics->GetCounter("kumquatcart_peer_bytes_sent_total")),
      bytes_received(
          &metrics->GetCounter("kumquatcart_peer_bytes_received_total")),
      frames_sent(&metrics->GetCounter("kumquatcart_peer_frames_sent_total")) {}

void LinkTable::Connect(const Endpoint& endpoint) {
  const bool under_way = std::any_of(
      this->links.begin(), this->links.end(), [&](const auto& entry) {
        return entry.second.endpoint == endpoint && !entry.second.IsReady();
      });
  if (under_way) {
    return;
  }
  const LinkId id = this->transport->Connect(endpoint);
  PeerLink& link = this->links[id];
  link.id = id;
  link.initiated = true;
  link.endpoint = endpoint;
  link.opened_at = this->clock->Now();
  link.received_at = link.opened_at;
}

void LinkTable::OnOpen(LinkId id, bool initiated) {
  PeerLink& link = this->links[id];
  link.id = id;
  link.initiated = initiated;
  link.open = true;
  link.opened_at = this->clock->Now();
  link.received_at = link.opened_at;
  link.channel.emplace(
      this->shared_key,
      initiated ? ChannelRole::kInitiator : ChannelRole::kAcceptor,
      RandomBytes(kPeerNonceBytes));
  this->transport->Send(id, link.channel->Greeting());
}

void LinkTable::OnClosed(LinkId id) {
  if (this->links.erase(id) > 0) {
    this->on_link_closed(id);
  }
}

std::optional<PeerMessage> LinkTable::OnFrame(LinkId id,
                                              const std::string& frame) {
  PeerLink* const link = this->Find(id);
  if (link == nullptr || !link->channel) {
    return std::nullopt;
  }
  this->bytes_received->Add(frame.size());
  if (frame.size() > kPeerMaxFrameBytes) {
    this->Refuse(id, "oversized");
    return std::nullopt;
  }
  if (link->channel->IsEstablished()) {
    return this->OpenFrame(link, frame);
  }
  if (!link->channel->AcceptGreeting(frame).has_value()) {
    this->Refuse(id, "greeting");
    return std::nullopt;
  }
  this->on_established(id);
  return std::nullopt;
}

std::optional<PeerMessage> LinkTable::OpenFrame(PeerLink* link,
                                                const std::string& frame) {
  const LinkId id = link->id;
  const Result<std::string> opened = link->channel->Open(frame);
  if (!opened.has_value()) {
    const ErrorCode code = opened.error().code;
    this->Refuse(id, code == ErrorCode::kPermissionDenied ? "foreign-key"
                     : code == ErrorCode::kConflict       ? "replayed"
                                                          : "malformed-frame");
    return std::nullopt;
  }
  Result<PeerMessage> message = DecodePeerMessage(opened.value());
  if (!message.has_value()) {
    this->Refuse(id, "malformed-message");
    return std::nullopt;
  }
  const bool identifies =
      std::holds_alternative<IdentifyMessage>(message.value());
  if (identifies == link->IsReady()) {
    this->Refuse(id, "out-of-turn");
    return std::nullopt;
  }
  link->received_at = this->clock->Now();
  return std::move(message.value());
}

void LinkTable::Send(LinkId id, const PeerMessage& message) {
  PeerLink* const link = this->Find(id);
  if (link == nullptr || !link->channel || !link->channel->IsEstablished()) {
    return;
  }
  const Result<std::string> frame =
      link->channel->Seal(EncodePeerMessage(message));
  if (!frame.has_value()) {
    this->Close(id);
    return;
  }
  this->bytes_sent->Add(frame.value().size());
  this->frames_sent->Add();
  this->transport->Send(id, frame.value());
}

void LinkTable::Close(LinkId id) {
  if (this->links.erase(id) > 0) {
    this->transport->Close(id);
    this->on_link_closed(id);
  }
}

PeerLink* LinkTable::Find(LinkId id) {
  const auto found = this->links.find(id);
  return found == this->links.end() ? nullptr : &found->second;
}

PeerLink* LinkTable::FindByPeer(MemberKey peer) {
  for (auto& [id, link] : this->links) {
    if (link.peer == peer) {
      return &link;
    }
  }
  return nullptr;
}

std::vector<LinkId> LinkTable::ListIds() const {
  std::vector<LinkId> ids;
  for (const auto& [id, link] : this->links) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<LinkInfo> LinkTable::ListReady() const {
  std::vector<LinkInfo> ready;
  for (const auto& [id, link] : this->links) {
    if (link.IsReady()) {
      ready.push_back({id, link.own_failure_domain});
    }
  }
  return ready;
}

void LinkTable::Refuse(LinkId id, const char* reason) {
  this->metrics
      ->GetCounter("kumquatcart_peer_messages_refused_total",
                   {{"reason", reason}})
      .Add();
  LogWarning("peer_refused", {{"reason", reason}});
  this->Close(id);
}

}  // namespace kumquatcart
