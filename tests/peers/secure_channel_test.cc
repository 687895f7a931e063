#include "peers/secure_channel.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "peers/peer_constants.h"

namespace kumquatcart {
namespace {

const std::string kKey(kPeerKeyMinBytes, 'k');

// Both ends of one connection after the exchange of greetings.
struct ChannelPair {
  explicit ChannelPair(const std::string& acceptor_key = kKey)
      : acceptor(acceptor_key,
                 ChannelRole::kAcceptor,
                 RandomBytes(kPeerNonceBytes)) {
    REQUIRE(
        this->initiator.AcceptGreeting(this->acceptor.Greeting()).has_value());
    REQUIRE(
        this->acceptor.AcceptGreeting(this->initiator.Greeting()).has_value());
  }

  SecureChannel initiator{kKey, ChannelRole::kInitiator,
                          RandomBytes(kPeerNonceBytes)};
  SecureChannel acceptor;
};

ErrorCode OpenError(SecureChannel* channel, const std::string& frame) {
  const Result<std::string> opened = channel->Open(frame);
  REQUIRE(!opened.has_value());
  return opened.error().code;
}

TEST_CASE("Frames are encrypted and decrypt to the original message") {
  ChannelPair pair;
  for (const std::string message : {"configuration", "", "more"}) {
    const std::string frame = pair.initiator.Seal(message).value();
    REQUIRE((message.empty() || frame.find(message) == std::string::npos));
    REQUIRE(pair.acceptor.Open(frame).value() == message);
  }
  const std::string answer = pair.acceptor.Seal("answer").value();
  REQUIRE(pair.initiator.Open(answer).value() == "answer");
}

TEST_CASE("A replayed frame is refused") {
  ChannelPair pair;
  const std::string frame = pair.initiator.Seal("once").value();
  REQUIRE(pair.acceptor.Open(frame).has_value());
  REQUIRE(OpenError(&pair.acceptor, frame) == ErrorCode::kConflict);
}

TEST_CASE("A frame of another connection is refused") {
  ChannelPair first;
  ChannelPair second;
  const std::string frame = first.initiator.Seal("recorded").value();
  REQUIRE(OpenError(&second.acceptor, frame) == ErrorCode::kPermissionDenied);
}

TEST_CASE("A frame sent back to its sender is refused") {
  ChannelPair pair;
  const std::string frame = pair.initiator.Seal("mirror").value();
  REQUIRE(OpenError(&pair.initiator, frame) == ErrorCode::kPermissionDenied);
}

TEST_CASE("A peer with another shared key is refused") {
  ChannelPair pair(std::string(kPeerKeyMinBytes, 'x'));
  const std::string frame = pair.acceptor.Seal("let me in").value();
  REQUIRE(OpenError(&pair.initiator, frame) == ErrorCode::kPermissionDenied);
}

TEST_CASE("Any changed byte is refused") {
  rc::prop("one byte of a sealed frame is changed", [] {
    ChannelPair pair;
    std::string frame = pair.initiator.Seal("sixteen bytes or").value();
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, frame.size());
    frame[at] = static_cast<char>(frame[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(!pair.acceptor.Open(frame).has_value());
  });
}

TEST_CASE("A greeting of another version or a second one is refused") {
  ChannelPair pair;
  REQUIRE(!pair.acceptor.AcceptGreeting(pair.initiator.Greeting()).has_value());
  SecureChannel fresh(kKey, ChannelRole::kAcceptor,
                      RandomBytes(kPeerNonceBytes));
  std::string greeting = pair.initiator.Greeting();
  greeting[0] = static_cast<char>(kPeerProtocolVersion + 1);
  REQUIRE(!fresh.AcceptGreeting(greeting).has_value());
}

}  // namespace
}  // namespace kumquatcart
