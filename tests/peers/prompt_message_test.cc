#include "peers/prompt_message.h"

#include <limits>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "peers/node_digest.h"
#include "peers/permit_message.h"
#include "peers/tagged_message.h"

namespace kumquatcart {
namespace {

PromptEvidence MakeEvidence() {
  PromptEvidence evidence;
  evidence.node = "n1";
  evidence.is_reply = true;
  evidence.crashes = {{{std::numeric_limits<std::uint64_t>::max(),
                        "i-1",
                        1'700,
                        true,
                        {"5afe01", "bad0"},
                        12},
                       250}};
  evidence.sound_age_ms = {{"5afe01", {{AnswerExtent{2}, 40}}},
                           {"bad0", {{AnswerExtent{}, 3}, {WholeAnswer(), 7}}}};
  evidence.refusal_age_ms = {{"bad0", 3}};
  evidence.trial_left_ms = {{"bad0", 2'000}};
  return evidence;
}

TEST_CASE("Encoded evidence about prompts decodes to the same") {
  for (const PromptEvidence& evidence : {MakeEvidence(), PromptEvidence{}}) {
    const auto decoded = DecodePromptEvidence(EncodePromptEvidence(evidence));
    REQUIRE(decoded);
    REQUIRE(decoded->has_value());
    CHECK(decoded->value() == evidence);
  }
}

TEST_CASE("Other datagrams are no evidence about prompts") {
  CHECK_FALSE(DecodePromptEvidence(EncodeDigest(NodeDigest{})));
  CHECK_FALSE(DecodePromptEvidence(
      EncodePermitMessage(PermitReply{"n", 1, "s", true, 1, 0, 1, 1})));
}

// Guards against a decoder that takes each datagram with a tag for its own, so
// that those of other kinds never reach theirs.
TEST_CASE("Evidence about prompts is no permit message") {
  CHECK_FALSE(DecodePermitMessage(EncodePromptEvidence(MakeEvidence())));
}

// Guards against a peer whose times overflow, or whose trial holds requests
// back for good.
TEST_CASE("Numbers of evidence about prompts are bounded") {
  PromptEvidence evidence = MakeEvidence();
  constexpr auto kHuge = std::numeric_limits<std::int64_t>::max();
  evidence.crashes.front().age_ms = kHuge;
  evidence.sound_age_ms["5afe01"] = {{AnswerExtent{}, -kHuge}};
  evidence.trial_left_ms["bad0"] = kHuge;
  const auto decoded = DecodePromptEvidence(EncodePromptEvidence(evidence));
  REQUIRE(decoded);
  REQUIRE(decoded->has_value());
  CHECK(decoded->value().crashes.front().age_ms <= 24LL * 3600 * 1000);
  CHECK(decoded->value().sound_age_ms.at("5afe01").at(AnswerExtent{}) == 0);
  CHECK(decoded->value().trial_left_ms.at("bad0") <= 10'000);
}

TEST_CASE("Evidence about prompts beyond the bounds is rejected") {
  PromptEvidence many = MakeEvidence();
  many.crashes.resize(65, many.crashes.front());
  PromptEvidence named = MakeEvidence();
  named.crashes.front().crash.server.assign(10'000, 'x');
  PromptEvidence further = MakeEvidence();
  further.sound_age_ms["5afe01"] = {{AnswerExtent{kExtentGrades}, 40}};
  for (const PromptEvidence& evidence : {many, named, further}) {
    const auto decoded = DecodePromptEvidence(EncodePromptEvidence(evidence));
    REQUIRE(decoded);
    CHECK(decoded->has_error());
  }
}

// Guards against VMs of two versions that do not understand each other, so that
// each of them learns by servers of its own.
TEST_CASE("Evidence of an earlier version is of runs that had begun") {
  const auto decoded = DecodePromptEvidence(EncodeTaggedMessage(Json::array(
      {"prompt-evidence", "n1", false,
       Json::array(
           {Json::array({7, "i-1", 1'700, true, Json::array({"a"}), 250})}),
       Json{{"a", 40}}, Json::object(), Json::object()})));
  REQUIRE(decoded);
  REQUIRE(decoded->has_value());
  CHECK(decoded->value().crashes.front() ==
        AgedPromptCrash{{7, "i-1", 1'700, true, {"a"}, 0}, 250});
  CHECK(decoded->value().sound_age_ms.at("a") ==
        std::map<AnswerExtent, std::int64_t>{{AnswerExtent{}, 40}});
}

TEST_CASE("Any datagram is evidence about prompts, rejected or another kind") {
  CHECK(rc::check([](std::string bytes) {
    if (*rc::gen::arbitrary<bool>()) {
      std::string valid = EncodePromptEvidence(MakeEvidence());
      const auto at = *rc::gen::inRange<std::size_t>(0, valid.size());
      valid[at] = bytes.empty() ? 'x' : bytes.front();
      bytes = valid;
    }
    const auto message = DecodePromptEvidence(bytes);
    RC_ASSERT(!message || message->has_value() || message->has_error());
  }));
}

}  // namespace
}  // namespace kumquatcart
