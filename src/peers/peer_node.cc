#include "peers/peer_node.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "peers/peer_constants.h"

namespace kumquatcart {

namespace {

// A tick delayed by more than this many intervals indicates that the process
// was paused.
constexpr int kPauseDetectionTicks = 4;

// Updates of member attributes are batched for kDeferredUpdateDelay and sent to
// kDeferredUpdateFanout peers; the digest exchange covers the other peers.
constexpr Duration kDeferredUpdateDelay = std::chrono::milliseconds(300);
constexpr std::size_t kDeferredUpdateFanout = 3;

MemberBounds BoundsOf(const PeerSettings& settings) {
  MemberBounds bounds;
  bounds.suspicion = settings.suspicion;
  return bounds;
}

DisseminationLimits DisseminationBoundsOf(const PeerSettings& settings) {
  DisseminationLimits bounds;
  bounds.push_fanout = static_cast<std::size_t>(settings.push_fanout);
  bounds.repair_bytes_per_second =
      static_cast<std::size_t>(settings.repair_bytes_per_second);
  return bounds;
}

Member MakeSelf(const NodeIdentity& identity) {
  Member self;
  self.identity = identity;
  return self;
}

}  // namespace

PeerNode::PeerNode(Clock* clock,
                   PeerTransport* transport,
                   const NodeIdentity& identity,
                   const std::string& shared_key,
                   const PeerSettings& settings,
                   MetricRegistry* metrics,
                   std::uint64_t seed,
                   MembersListener on_members)
    : clock(clock),
      settings(settings),
      metrics(metrics),
      random(seed),
      on_members(std::move(on_members)),
      members(MakeSelf(identity), BoundsOf(settings)),
      links(clock, transport, shared_key, metrics),
      topics(DisseminationBoundsOf(settings), metrics, seed) {
  this->links.on_established = [this](LinkId link) {
    this->OnEstablished(link);
  };
  this->links.on_link_closed = [this](LinkId link) {
    this->OnLinkClosed(link);
  };
}

void PeerNode::SetBootstrapEndpoints(std::vector<Endpoint> contacts) {
  this->contacts = std::move(contacts);
}

void PeerNode::SetOwnAttributes(Offset config_offset, bool platform_reachable) {
  if (this->members.SetOwnAttributes(config_offset, platform_reachable)) {
    this->HandleMergeResult(MergeResult::kFieldsChanged,
                            KeyOf(this->members.Self().identity.id), 0);
  }
}

void PeerNode::Leave() {
  this->members.Leave();
  this->HandleMergeResult(MergeResult::kStateChanged,
                          KeyOf(this->members.Self().identity.id), 0);
}

void PeerNode::OnOpen(LinkId link, bool initiated) {
  this->links.OnOpen(link, initiated);
}

void PeerNode::OnClosed(LinkId link) {
  this->links.OnClosed(link);
}

void PeerNode::OnFrame(LinkId link, const std::string& frame) {
  const std::optional<PeerMessage> message = this->links.OnFrame(link, frame);
  if (message) {
    std::visit([&](const auto& body) { this->Handle(link, body); }, *message);
  }
}

void PeerNode::OnEstablished(LinkId link) {
  this->links.Send(link, IdentifyMessage{this->members.Self()});
}

void PeerNode::OnLinkClosed(LinkId link) {
  this->topics.OnLinkClosed(link);
}

void PeerNode::Handle(LinkId id, const IdentifyMessage& message) {
  PeerLink* const link = this->links.Find(id);
  const MemberKey key = KeyOf(message.self.identity.id);
  const bool is_self = key == KeyOf(this->members.Self().identity.id);
  if (is_self) {
    this->links.Close(id);
    return;
  }
  link->peer = key;
  link->own_failure_domain = message.self.identity.failure_domain ==
                             this->members.Self().identity.failure_domain;
  const MergeResult result =
      this->members.MergeMember(message.self, this->clock->Now());
  this->DropDuplicateLinks(*link);
  this->HandleMergeResult(result, key, id);
  this->SendDigest(id, false);
}

void PeerNode::DropDuplicateLinks(const PeerLink& link) {
  const MemberKey self = KeyOf(this->members.Self().identity.id);
  for (const LinkId other_id : this->links.ListIds()) {
    const PeerLink* const other = this->links.Find(other_id);
    if (other_id == link.id || other->peer != link.peer) {
      continue;
    }
    // Both ends keep the connection opened by the node with the lower key. Of
    // two opened by the same node they keep the newer, since the older one may
    // no longer work.
    const bool opened_by_lower_key = link.initiated == (self < link.peer);
    const bool same_opener = other->initiated == link.initiated;
    if (!same_opener && !opened_by_lower_key) {
      this->links.Close(link.id);
      return;
    }
    this->links.Close(other_id);
  }
}

void PeerNode::Handle(LinkId link, const PingMessage&) {
  this->links.Send(link, PongMessage());
}

void PeerNode::Handle(LinkId, const PongMessage&) {}

void PeerNode::Handle(LinkId link, const MembersMessage& message) {
  const MonotonicTime now = this->clock->Now();
  for (const Member& member : message.members) {
    this->HandleMergeResult(this->members.MergeMember(member, now),
                            KeyOf(member.identity.id), link);
  }
  MemberRequestMessage want;
  std::vector<MemberUpdate> newer_updates;
  for (const MemberUpdate& update : message.updates) {
    const MergeResult result = this->members.Merge(update, now);
    if (result == MergeResult::kUnknown) {
      want.keys.push_back(update.key);
    } else if (result == MergeResult::kStale) {
      newer_updates.push_back(*this->members.UpdateOf(update.key));
    } else {
      this->HandleMergeResult(result, update.key, link);
    }
  }
  if (!want.keys.empty()) {
    this->links.Send(link, want);
  }
  this->SendUpdates(link, newer_updates);
}

void PeerNode::Handle(LinkId link, const MemberRequestMessage& message) {
  MembersMessage reply;
  for (const MemberKey key : message.keys) {
    const Member* const member = this->members.Find(key);
    if (member != nullptr) {
      reply.members.push_back(*member);
    }
  }
  this->links.Send(link, reply);
}

void PeerNode::Handle(LinkId id, const PushMessage& message) {
  const PeerLink* const link = this->links.Find(id);
  this->SendAll(this->topics.OnPush({id, link->own_failure_domain}, message));
}

void PeerNode::Handle(LinkId id, const DigestMessage& message) {
  const PeerLink* const link = this->links.Find(id);
  const std::vector<MemberUpdate> updates =
      this->members.UpdatesWhereDifferent(message.member_buckets);
  this->SendUpdates(id, updates);
  this->SendAll(this->topics.OnDigest({id, link->own_failure_domain}, message,
                                      this->clock->Now()));
}

void PeerNode::HandleMergeResult(MergeResult result,
                                 MemberKey key,
                                 LinkId link) {
  if (result == MergeResult::kStale && this->links.Find(link) != nullptr) {
    this->SendUpdates(link, {*this->members.UpdateOf(key)});
  } else if (result == MergeResult::kStateChanged) {
    this->urgent_updates.insert(key);
  } else if (result == MergeResult::kFieldsChanged) {
    if (this->deferred_updates.empty()) {
      this->deferred_due = this->clock->Now() + kDeferredUpdateDelay;
    }
    this->deferred_updates.insert(key);
  }
}

void PeerNode::SendAll(const std::vector<OutgoingMessage>& messages) {
  for (const OutgoingMessage& outgoing : messages) {
    this->links.Send(outgoing.link, outgoing.message);
  }
}

void PeerNode::SendUpdates(LinkId link,
                           const std::vector<MemberUpdate>& updates) {
  if (!updates.empty()) {
    this->links.Send(link, MembersMessage{{}, updates});
  }
}

void PeerNode::SendDigest(LinkId id, bool wants_reply) {
  const PeerLink* const link = this->links.Find(id);
  if (link == nullptr) {
    return;
  }
  DigestMessage digest;
  digest.member_buckets =
      this->members.BucketHashes(this->members.BucketCount());
  digest.topics = this->topics.DigestsFor({id, link->own_failure_domain});
  digest.wants_reply = wants_reply;
  this->links.Send(id, digest);
}

bool PeerNode::HasPendingPushes() const {
  return this->topics.HasPendingPushes() || !this->urgent_updates.empty();
}

void PeerNode::PushChangedTopics() {
  const std::vector<LinkInfo> ready = this->links.ListReady();
  std::vector<MemberUpdate> updates;
  for (const MemberKey key : this->urgent_updates) {
    const auto update = this->members.UpdateOf(key);
    if (update) {
      updates.push_back(*update);
    }
  }
  this->urgent_updates.clear();
  for (const LinkInfo& link : ready) {
    this->SendUpdates(link.id, updates);
  }
  this->SendAll(this->topics.PushChangedTopics(this->clock->Now(), ready));
}

void PeerNode::Tick() {
  const MonotonicTime now = this->clock->Now();
  const Duration max_tick_delay =
      kPauseDetectionTicks * this->settings.tick_interval;
  if (this->ticked_at != MonotonicTime{} &&
      now - this->ticked_at > max_tick_delay) {
    this->ResetTimersAfterPause(now);
  }
  this->ticked_at = now;
  this->RefreshObserved();
  this->ProbeObserved(now);
  for (const MemberKey key : this->members.Expire(now)) {
    const Member* const member = this->members.Find(key);
    LogWarning("member_dead",
               {{"node", member->identity.id}, {"vm", member->identity.vm}});
    this->urgent_updates.insert(key);
  }
  this->CloseIdle(now);
  this->ExchangeDigests(now);
  this->TryRejoin(now);
  this->SendAll(this->topics.AnnounceDueDigests(now, this->links.ListReady()));
  this->PushChangedTopics();
  this->PublishMembers();
}

void PeerNode::ResetTimersAfterPause(MonotonicTime now) {
  this->metrics->GetCounter("kumquatcart_peer_own_pauses_total").Add();
  LogWarning("own_pause_detected",
             {{"milliseconds", ToMillis(now - this->ticked_at)}});
  for (auto& [key, last_contact] : this->last_contact_at) {
    last_contact = now;
  }
  for (const LinkId id : this->links.ListIds()) {
    this->links.Find(id)->received_at = now;
  }
  this->members.RestartSuspicions(now);
}

void PeerNode::RefreshObserved() {
  if (this->observed_version == this->members.TopologyVersion()) {
    return;
  }
  this->observed_version = this->members.TopologyVersion();
  std::map<MemberKey, MonotonicTime> next;
  for (const NodeId& id :
       ChooseObserved(this->members.Table(), this->members.Self().identity.id,
                      OverlayShape())) {
    const MemberKey key = KeyOf(id);
    const auto known = this->last_contact_at.find(key);
    next[key] = known == this->last_contact_at.end() ? this->clock->Now()
                                                     : known->second;
  }
  this->last_contact_at = std::move(next);
}

void PeerNode::ProbeObserved(MonotonicTime now) {
  for (auto& [key, last_contact] : this->last_contact_at) {
    const PeerLink* const link = this->links.FindByPeer(key);
    if (link != nullptr) {
      last_contact = std::max(last_contact, link->received_at);
    }
    this->ProbeOne(key, now);
    if (now - last_contact < this->settings.suspect_after) {
      continue;
    }
    if (this->members.Suspect(key, now)) {
      const Member* const member = this->members.Find(key);
      LogInfo("member_suspected",
              {{"node", member->identity.id}, {"vm", member->identity.vm}});
      this->metrics->GetCounter("kumquatcart_peer_suspicions_total").Add();
      this->urgent_updates.insert(key);
    }
  }
}

void PeerNode::ProbeOne(MemberKey key, MonotonicTime now) {
  PeerLink* const link = this->links.FindByPeer(key);
  if (link == nullptr) {
    this->links.Connect(this->members.Find(key)->identity.peer_endpoint);
    return;
  }
  const Duration silence = now - link->received_at;
  if (silence >= this->settings.silent_after) {
    // A middlebox may have dropped the state of this connection.
    this->metrics->GetCounter("kumquatcart_peer_silent_links_total").Add();
    this->links.Close(link->id);
    this->links.Connect(this->members.Find(key)->identity.peer_endpoint);
    return;
  }
  const bool due = now - link->pinged_at >= this->settings.probe_interval;
  if (due && silence >= this->settings.probe_interval / 2) {
    link->pinged_at = now;
    this->links.Send(link->id, PingMessage());
  }
}

void PeerNode::CloseIdle(MonotonicTime now) {
  for (const LinkId id : this->links.ListIds()) {
    const PeerLink* const link = this->links.Find(id);
    const Duration timeout = link->IsReady() ? this->settings.idle_close
                                             : this->settings.silent_after;
    if (now - link->received_at >= timeout) {
      this->links.Close(id);
    }
  }
}

void PeerNode::ExchangeDigests(MonotonicTime now) {
  const std::vector<LinkInfo> ready = this->links.ListReady();
  if (!ready.empty() && now >= this->exchange_due) {
    this->exchange_due = now + this->settings.exchange_interval;
    this->SendDigest(ready[this->random() % ready.size()].id, true);
  }
  if (this->deferred_updates.empty() || now < this->deferred_due) {
    return;
  }
  std::vector<MemberUpdate> updates;
  for (const MemberKey key : this->deferred_updates) {
    const auto update = this->members.UpdateOf(key);
    if (update) {
      updates.push_back(*update);
    }
  }
  this->deferred_updates.clear();
  std::vector<LinkInfo> chosen;
  std::sample(ready.begin(), ready.end(), std::back_inserter(chosen),
              kDeferredUpdateFanout, this->random);
  for (const LinkInfo& link : chosen) {
    this->SendUpdates(link.id, updates);
  }
}

void PeerNode::TryRejoin(MonotonicTime now) {
  if (now < this->rejoin_due) {
    return;
  }
  this->rejoin_due = now + this->settings.rejoin_interval;
  std::set<Endpoint> present;
  std::set<Endpoint> missing(this->contacts.begin(), this->contacts.end());
  for (const auto& [id, member] : this->members.Table().members) {
    const bool dead = member.state == MemberState::kDead;
    (dead ? missing : present).insert(member.identity.peer_endpoint);
  }
  std::vector<Endpoint> candidates;
  std::set_difference(missing.begin(), missing.end(), present.begin(),
                      present.end(), std::back_inserter(candidates));
  if (!candidates.empty()) {
    this->links.Connect(candidates[this->random() % candidates.size()]);
  }
}

void PeerNode::PublishMembers() {
  if (this->published_version == this->members.Version()) {
    return;
  }
  this->published_version = this->members.Version();
  const MemberTable table = this->members.Table();
  std::map<std::string, int> counts = {
      {"alive", 0}, {"suspect", 0}, {"dead", 0}, {"leaving", 0}};
  for (const auto& [id, member] : table.members) {
    ++counts[nlohmann::json(member.state).get<std::string>()];
  }
  for (const auto& [state, count] : counts) {
    this->metrics->GetGauge("kumquatcart_members", {{"state", state}})
        .Set(count);
  }
  this->on_members(table);
}

}  // namespace kumquatcart
