#include "peers/slot_message.h"

#include <limits>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "peers/node_digest.h"
#include "peers/peer_directory.h"
#include "peers/permit_message.h"

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

void CheckRoundTrip(const SlotMessage& message) {
  const auto decoded = DecodeSlotMessage(EncodeSlotMessage(message));
  REQUIRE(decoded);
  REQUIRE(decoded->has_value());
  CHECK(decoded->value() == message);
}

TEST_CASE("An encoded slot message decodes to the same message") {
  CheckRoundTrip(
      SlotAsk{"n1", 7, "llm", "m0", {"s1", "s2"}, 714, 200'000, -5, 900'000});
  CheckRoundTrip(SlotReply{"n2", 7, SlotState::kGranted, "g1", 12, "s3", 0});
  CheckRoundTrip(SlotReply{"n2", 7, SlotState::kRejected, "", 0, "", 150'000});
  CheckRoundTrip(SlotReturn{"n1", 7});
  CheckRoundTrip(SlotReport{"n1", {{7, "s3"}, {9, "s3"}}});
  CheckRoundTrip(SlotReport{"n1", {}});
}

TEST_CASE("Messages of other kinds are no slot messages") {
  CHECK_FALSE(DecodeSlotMessage(EncodeDigest(NodeDigest{})));
  CHECK_FALSE(DecodeSlotMessage(EncodePermitMessage(PermitReply{})));
}

// Guards against a datagram whose numbers overflow a time.
TEST_CASE("Numbers of a slot message are bounded") {
  constexpr auto kHuge = std::numeric_limits<std::int64_t>::max();
  const auto decoded = DecodeSlotMessage(EncodeSlotMessage(
      SlotAsk{"n", 1, "s", "m", {}, kHuge, kHuge, -kHuge, kHuge}));
  REQUIRE(decoded);
  const auto& ask = std::get<SlotAsk>(decoded->value());
  CHECK(ask.prompt_tokens <= 100'000'000);
  CHECK(ask.gap_target_us <= 60'000'000);
  CHECK(ask.start_in_us >= -60'000'000);
  CHECK(ask.wait_us <= 60'000'000);
}

// Guards against a state of a later version.
TEST_CASE("An unknown slot state counts as unavailable") {
  const auto decoded = DecodeSlotMessage(EncodeSlotMessage(
      SlotReply{"n", 1, static_cast<SlotState>(9), "", 0, "", 0}));
  REQUIRE(decoded);
  CHECK(std::get<SlotReply>(decoded->value()).state == SlotState::kUnavailable);
}

TEST_CASE("Any datagram is a slot message, rejected or of another kind") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto message = DecodeSlotMessage(bytes);
    if (message && message->has_value()) {
      RC_ASSERT(
          DecodeSlotMessage(EncodeSlotMessage(message->value()))->value() ==
          message->value());
    }
  }));
}

// Guards against a torn datagram, which must change nothing.
TEST_CASE("A torn slot message is never decoded") {
  const std::string whole = EncodeSlotMessage(
      SlotReply{"n2", 7, SlotState::kGranted, "g1", 12, "s3", 0});
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const auto decoded = DecodeSlotMessage(whole.substr(0, size));
    CHECK((!decoded || decoded->has_error()));
  }
}

NodeDigest LiveDigest(const std::string& node, bool is_stopping = false) {
  NodeDigest digest;
  digest.node = node;
  digest.interval_ms = 150;
  digest.is_stopping = is_stopping;
  return digest;
}

TEST_CASE("The strongest live VM of the failure domain assigns its slots") {
  PeerDirectory directory("c", "zone", 0.25);
  directory.PutPeer("a", "zone", Endpoint{"10.0.0.1", 1}, 0.12);
  directory.PutPeer("b", "zone", Endpoint{"10.0.0.2", 1}, 0.5);
  directory.PutPeer("d", "other", Endpoint{"10.0.0.3", 1}, 0.9);
  // All VMs start at once: the stronger one may not have been heard yet.
  CHECK(directory.FindSlotCoordinator(false, true, kStart).empty());
  CHECK(directory.FindSlotCoordinator(false, false, kStart) == "c");
  for (const char* node : {"a", "b", "d"}) {
    directory.AcceptDigest(LiveDigest(node), kStart);
  }
  CHECK(directory.FindSlotCoordinator(false, true, kStart) == "b");
  directory.AcceptDigest(LiveDigest("b", true), kStart);
  CHECK(directory.FindSlotCoordinator(false, true, kStart) == "c");
  // A VM that stops leaves the duty to a weaker one.
  CHECK(directory.FindSlotCoordinator(true, true, kStart) == "a");
  const MonotonicTime later = kStart + std::chrono::seconds(2);
  CHECK(directory.FindSlotCoordinator(false, true, later) == "c");
}

}  // namespace
}  // namespace kumquatcart
