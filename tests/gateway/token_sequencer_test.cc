#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "gateway/token_sequencer.h"

namespace kumquatcart {
namespace {

// The naive version: sort all chunks of the attempt and read them off.
std::vector<std::string> NaiveTokens(const std::vector<GenerateChunk>& chunks,
                                     const AttemptId& attempt) {
  std::map<int, std::string> by_index;
  for (const GenerateChunk& chunk : chunks) {
    if (chunk.attempt == attempt && !chunk.done) {
      by_index.emplace(chunk.index, chunk.token);
    }
  }
  std::vector<std::string> tokens;
  for (const auto& [index, token] : by_index) {
    if (index != static_cast<int>(tokens.size())) {
      break;
    }
    tokens.push_back(token);
  }
  return tokens;
}

GenerateChunk RandomChunk() {
  GenerateChunk chunk;
  chunk.attempt = AttemptId(*rc::gen::element<std::string>("a", "a", "a", "b"));
  chunk.index = *rc::gen::inRange(0, 12);
  chunk.token = chunk.attempt.value + std::to_string(chunk.index);
  return chunk;
}

TEST_CASE("Any order of chunks gives each token once, in order", "[gateway]") {
  rc::prop("tokens equal the sorted ones", [] {
    const auto chunks = *rc::gen::container<std::vector<GenerateChunk>>(
        rc::gen::exec([] { return RandomChunk(); }));
    TokenSequencer sequencer;
    sequencer.BeginAttempt(AttemptId("a"));
    std::vector<std::string> tokens;
    for (const GenerateChunk& chunk : chunks) {
      sequencer.Accept(chunk, &tokens);
    }
    RC_ASSERT(tokens == NaiveTokens(chunks, AttemptId("a")));
    RC_ASSERT(sequencer.NextIndex() == static_cast<int>(tokens.size()));
  });
}

TEST_CASE("An answer is whole only when every token came", "[gateway]") {
  TokenSequencer sequencer;
  sequencer.BeginAttempt(AttemptId("a"));
  std::vector<std::string> tokens;
  CHECK(sequencer.Accept({AttemptId("a"), 2, "", true, 0}, &tokens) ==
        ChunkVerdict::kHeld);
  CHECK_FALSE(sequencer.IsWhole());
  sequencer.Accept({AttemptId("a"), 0, "x", false, 0}, &tokens);
  sequencer.Accept({AttemptId("a"), 1, "y", false, 0}, &tokens);
  CHECK(sequencer.IsWhole());
  CHECK(sequencer.Accept({AttemptId("a"), 5, "z", false, 0}, &tokens) ==
        ChunkVerdict::kInvalid);
}

}  // namespace
}  // namespace kumquatcart
