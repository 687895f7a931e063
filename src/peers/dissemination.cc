#include "peers/dissemination.h"

#include <algorithm>
#include <chrono>

#include "base/logging.h"
#include "base/soft_assert.h"
#include "peers/peer_constants.h"

namespace kumquatcart {

Dissemination::Dissemination(const DisseminationLimits& bounds,
                             MetricRegistry* metrics,
                             std::uint64_t seed)
    : bounds(bounds),
      random(seed),
      repair_budget(static_cast<double>(bounds.repair_bytes_per_second)),
      pushes(&metrics->GetCounter("kumquatcart_peer_pushes_total")),
      repairs(&metrics->GetCounter("kumquatcart_peer_repairs_total")),
      deferred(&metrics->GetCounter("kumquatcart_peer_repairs_deferred_total")),
      malformed(&metrics->GetCounter("kumquatcart_peer_messages_refused_total",
                                     {{"reason", "malformed-topic"}})) {}

void Dissemination::AddTopic(std::shared_ptr<GossipTopic> topic) {
  const TopicName name = topic->Name();
  KC_ENSURE(this->topics.count(name) == 0);
  this->topics[name] = std::move(topic);
}

void Dissemination::MarkChanged(const std::string& topic) {
  if (this->topics.count(topic) > 0) {
    this->changed_topics.insert(topic);
  }
}

bool Dissemination::MayExchange(const GossipTopic& topic,
                                const LinkInfo& link) const {
  return link.same_failure_domain || topic.Scope() == TopicScope::kEverywhere;
}

GossipTopic* Dissemination::FindTopic(const TopicName& name,
                                      const LinkInfo& link) const {
  const auto found = this->topics.find(name);
  if (found == this->topics.end() || !this->MayExchange(*found->second, link)) {
    return nullptr;
  }
  return found->second.get();
}

std::vector<OutgoingMessage> Dissemination::PushChangedTopics(
    MonotonicTime now,
    const std::vector<LinkInfo>& links) {
  std::vector<OutgoingMessage> out;
  std::set<TopicName> marked;
  marked.swap(this->changed_topics);
  for (const TopicName& name : marked) {
    this->PushTopic(*this->topics.at(name), now, links, &out);
  }
  return out;
}

void Dissemination::PushTopic(const GossipTopic& topic,
                              MonotonicTime now,
                              const std::vector<LinkInfo>& links,
                              std::vector<OutgoingMessage>* out) {
  const TopicName name = topic.Name();
  const Json digest = topic.Digest();
  std::vector<LinkInfo> lacking;
  for (const LinkInfo& link : links) {
    const auto known = this->peer_digests.find({link.id, name});
    const bool has_it =
        known != this->peer_digests.end() && known->second == digest;
    if (!has_it && this->MayExchange(topic, link)) {
      lacking.push_back(link);
    }
  }
  std::shuffle(lacking.begin(), lacking.end(), this->random);
  std::size_t pushed = 0;
  for (const LinkInfo& link : lacking) {
    const auto known = this->peer_digests.find({link.id, name});
    const bool pushable =
        known != this->peer_digests.end() && pushed < this->bounds.push_fanout;
    Json delta = pushable
                     ? this->DeltaFor(topic, known->second, kPeerMaxDeltaBytes)
                     : Json();
    if (delta.is_null()) {
      this->announce_at.insert(
          {{link.id, name}, now + this->bounds.announce_delay});
      continue;
    }
    out->push_back({link.id, PushMessage{name, std::move(delta), digest}});
    known->second = digest;
    ++pushed;
  }
  this->pushes->Add(pushed);
}

std::vector<OutgoingMessage> Dissemination::AnnounceDueDigests(
    MonotonicTime now,
    const std::vector<LinkInfo>& links) {
  std::map<LinkId, DigestMessage> by_link;
  std::map<LinkId, LinkInfo> open;
  for (const LinkInfo& link : links) {
    open[link.id] = link;
  }
  for (auto due = this->announce_at.begin(); due != this->announce_at.end();) {
    if (due->second > now) {
      ++due;
      continue;
    }
    const auto& [link, name] = due->first;
    const auto known = this->peer_digests.find(due->first);
    const Json digest = this->topics.at(name)->Digest();
    const bool has_it =
        known != this->peer_digests.end() && known->second == digest;
    if (!has_it && open.count(link) > 0) {
      by_link[link].topics[name] = digest;
      by_link[link].wants_reply = true;
    }
    due = this->announce_at.erase(due);
  }
  std::vector<OutgoingMessage> out;
  for (auto& [link, message] : by_link) {
    out.push_back({link, std::move(message)});
  }
  return out;
}

std::map<std::string, Json> Dissemination::DigestsFor(
    const LinkInfo& link) const {
  std::map<std::string, Json> digests;
  for (const auto& [name, topic] : this->topics) {
    if (this->MayExchange(*topic, link)) {
      digests[name] = topic->Digest();
    }
  }
  return digests;
}

std::vector<OutgoingMessage> Dissemination::OnDigest(
    const LinkInfo& link,
    const DigestMessage& digest,
    MonotonicTime now) {
  std::vector<OutgoingMessage> out;
  DigestMessage reply;
  for (const auto& [name, theirs] : digest.topics) {
    const GossipTopic* const topic = this->FindTopic(name, link);
    if (topic == nullptr) {
      continue;
    }
    Json own = topic->Digest();
    this->peer_digests[{link.id, name}] = theirs;
    if (own == theirs) {
      continue;
    }
    Json delta = this->DeltaFor(*topic, theirs, kPeerMaxDeltaBytes);
    if (!delta.is_null()) {
      if (!this->ConsumeRepairBudget(Json::to_cbor(delta).size(), now)) {
        this->announce_at.insert(
            {{link.id, name}, now + std::chrono::seconds(1)});
        continue;
      }
      this->repairs->Add();
      out.push_back({link.id, PushMessage{name, std::move(delta), own}});
      this->peer_digests[{link.id, name}] = own;
    }
    reply.topics[name] = std::move(own);
  }
  if (digest.wants_reply && !reply.topics.empty()) {
    out.push_back({link.id, std::move(reply)});
  }
  return out;
}

std::vector<OutgoingMessage> Dissemination::OnPush(const LinkInfo& link,
                                                   const PushMessage& push) {
  std::vector<OutgoingMessage> out;
  GossipTopic* const topic = this->FindTopic(push.topic, link);
  if (topic == nullptr) {
    return out;
  }
  const Result<bool> merged = topic->Merge(push.delta);
  if (!merged.has_value()) {
    this->malformed->Add();
    LogWarning("peer_news_refused",
               {{"topic", push.topic}, {"error", merged.error().message}});
    return out;
  }
  this->peer_digests[{link.id, push.topic}] = push.digest;
  if (!merged.value()) {
    return out;
  }
  this->MarkChanged(push.topic);
  Json own = topic->Digest();
  if (own != push.digest) {
    // The delta was truncated at its size limit, or each side has changes that
    // the other lacks.
    DigestMessage request;
    request.topics[push.topic] = std::move(own);
    out.push_back({link.id, std::move(request)});
  }
  return out;
}

void Dissemination::OnLinkClosed(LinkId link) {
  const std::pair<LinkId, TopicName> first{link, TopicName()};
  const std::pair<LinkId, TopicName> end{link + 1, TopicName()};
  this->peer_digests.erase(this->peer_digests.lower_bound(first),
                           this->peer_digests.lower_bound(end));
  this->announce_at.erase(this->announce_at.lower_bound(first),
                          this->announce_at.lower_bound(end));
}

Json Dissemination::DeltaFor(const GossipTopic& topic,
                             const Json& their_digest,
                             std::size_t max_bytes) {
  Result<Json> delta = topic.DeltaFor(their_digest, max_bytes);
  if (!delta.has_value()) {
    this->malformed->Add();
    return Json();
  }
  return std::move(delta.value());
}

bool Dissemination::ConsumeRepairBudget(std::size_t bytes, MonotonicTime now) {
  const double rate = static_cast<double>(this->bounds.repair_bytes_per_second);
  if (this->budget_updated_at != MonotonicTime{}) {
    const double seconds =
        std::chrono::duration<double>(now - this->budget_updated_at).count();
    this->repair_budget = std::min(rate, this->repair_budget + seconds * rate);
  }
  this->budget_updated_at = now;
  if (this->repair_budget < static_cast<double>(bytes)) {
    this->deferred->Add();
    return false;
  }
  this->repair_budget -= static_cast<double>(bytes);
  return true;
}

}  // namespace kumquatcart
