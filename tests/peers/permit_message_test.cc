#include "peers/permit_message.h"

#include <limits>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "peers/node_digest.h"
#include "peers/peer_directory.h"

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

void CheckRoundTrip(const PermitMessage& message) {
  const auto decoded = DecodePermitMessage(EncodePermitMessage(message));
  REQUIRE(decoded);
  REQUIRE(decoded->has_value());
  CHECK(decoded->value() == message);
}

TEST_CASE("An encoded permit message decodes to the same message") {
  CheckRoundTrip(PermitRequest{"n1", 4, {"s", 2, 0.25}, 3});
  CheckRoundTrip(PermitRequest{"n1", 4, {"s", 2, std::nullopt}, 3});
  CheckRoundTrip(PermitRequest{"n1", 4, {"s", 2, 0.25, 1'700}, 3});
  CheckRoundTrip(PermitReply{"n2", 4, "s", true, 2, 250'000, 400'000, 8});
}

TEST_CASE("A digest is not a permit message") {
  CHECK_FALSE(DecodePermitMessage(EncodeDigest(NodeDigest{})));
}

// Guards against a datagram whose numbers overflow the schedule.
TEST_CASE("Numbers of a permit reply are bounded") {
  constexpr auto kHuge = std::numeric_limits<std::int64_t>::max();
  const auto decoded = DecodePermitMessage(EncodePermitMessage(
      PermitReply{"n", 1, "s", true, 2'000'000'000, kHuge, -kHuge, -1}));
  REQUIRE(decoded);
  const auto& reply = std::get<PermitReply>(decoded->value());
  CHECK(reply.count <= 1'000);
  CHECK(reply.first_in_us <= 60'000'000);
  CHECK(reply.interval_us == 0);
  CHECK(reply.nodes == 1);
}

// Guards against an exception of the CBOR parser, which it throws for a length
// beyond any memory even where it is told to report errors otherwise.
TEST_CASE("A datagram with an excessive array size is no permit message") {
  CHECK_FALSE(
      DecodePermitMessage("\x9B"
                          "aaaaaaaa"));
}

TEST_CASE("Any datagram is a permit message, rejected or of another kind") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto message = DecodePermitMessage(bytes);
    if (message && message->has_value()) {
      RC_ASSERT(
          DecodePermitMessage(EncodePermitMessage(message->value()))->value() ==
          message->value());
    }
  }));
}

NodeDigest SharingDigest(const std::string& node) {
  NodeDigest digest;
  digest.node = node;
  digest.interval_ms = 150;
  digest.limits.emplace();
  return digest;
}

// Guards against permits that are requested from a VM that is stopping, gone or
// of a version that cannot allocate them.
TEST_CASE("Only live VMs that share limits coordinate them") {
  PeerDirectory directory("a", "zone");
  for (const char* node : {"b", "c", "d", "e"}) {
    directory.PutPeer(node, "zone", Endpoint{"10.0.0.1", 1});
  }
  const MonotonicTime later = kStart + std::chrono::seconds(2);
  directory.AcceptDigest(SharingDigest("b"), kStart);
  NodeDigest stopping = SharingDigest("c");
  stopping.is_stopping = true;
  directory.AcceptDigest(stopping, later);
  NodeDigest earlier_version = SharingDigest("d");
  earlier_version.limits = std::nullopt;
  directory.AcceptDigest(earlier_version, later);
  directory.AcceptDigest(SharingDigest("e"), later);
  std::set<std::string> coordinators;
  for (int i = 0; i < 50; ++i) {
    const std::string subject = "server" + std::to_string(i);
    coordinators.insert(directory.FindCoordinator(subject, false, later));
    CHECK(directory.FindCoordinator(subject, true, later) == "e");
  }
  CHECK(coordinators == std::set<std::string>{"a", "e"});
  CHECK(directory.CountNodesSince(kStart, false) == 5);
  CHECK(directory.CountNodesSince(later, false) == 4);
}

}  // namespace
}  // namespace kumquatcart
