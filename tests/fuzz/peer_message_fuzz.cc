// Fuzz target of everything that reads bytes from a peer: the message decoder,
// the merging of members and reports, and the opening of frames.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <variant>

#include "peers/member_list.h"
#include "peers/peer_constants.h"
#include "peers/peer_message.h"
#include "peers/report_topic.h"
#include "peers/secure_channel.h"

namespace kumquatcart {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};

// Ends the process when `holds` is false, which the fuzzer reports.
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

Member MakeSelf() {
  Member self;
  self.identity.id = NodeId("self");
  return self;
}

void CheckMembers(const MembersMessage& message) {
  MemberList list(MakeSelf(), MemberBounds());
  for (const Member& member : message.members) {
    list.MergeMember(member, kNow);
  }
  for (const MemberUpdate& update : message.updates) {
    list.Merge(update, kNow);
  }
  Require(list.Self().state == MemberState::kAlive);
}

void CheckPush(const PushMessage& push) {
  ReportTopic topic("t", TopicScope::kEverywhere, NodeId("self"));
  topic.SetOwnReport({{"k", 1}});
  static_cast<void>(
      topic.DeltaFor(push.digest, kPeerMaxDeltaBytes).has_value());
  static_cast<void>(topic.Merge(push.delta).has_value());
  Require(topic.Reports().at(NodeId("self")).at("k") == 1);
}

void CheckMessage(const std::string& bytes) {
  const Result<PeerMessage> message = DecodePeerMessage(bytes);
  if (!message.has_value()) {
    return;
  }
  const PeerMessage& decoded = message.value();
  const Result<PeerMessage> again =
      DecodePeerMessage(EncodePeerMessage(decoded));
  Require(again.has_value());
  if (std::holds_alternative<MembersMessage>(decoded)) {
    CheckMembers(std::get<MembersMessage>(decoded));
  } else if (std::holds_alternative<PushMessage>(decoded)) {
    CheckPush(std::get<PushMessage>(decoded));
  } else if (std::holds_alternative<DigestMessage>(decoded)) {
    const MemberList list(MakeSelf(), MemberBounds());
    list.UpdatesWhereDifferent(std::get<DigestMessage>(decoded).member_buckets);
  }
}

// No bytes of a stranger open under a key that they do not have.
void CheckFrame(const std::string& bytes) {
  SecureChannel channel(std::string(kPeerKeyMinBytes, 'k'),
                        ChannelRole::kAcceptor, RandomBytes(kPeerNonceBytes));
  if (!channel.AcceptGreeting(bytes).has_value()) {
    Require(channel.AcceptGreeting(channel.Greeting()).has_value());
  }
  Require(!channel.Open(bytes).has_value());
}

}  // namespace
}  // namespace kumquatcart

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  kumquatcart::CheckMessage(bytes);
  kumquatcart::CheckFrame(bytes);
  return 0;
}
