#include "common/expected_answer.h"

#include <cstdint>

#include <fmt/format.h>

namespace kumquatcart::tools {

namespace {

// FNV-1a, 64 bits.
constexpr std::uint64_t kHashBasis = 14695981039346656037ULL;
constexpr std::uint64_t kHashPrime = 1099511628211ULL;

std::uint64_t HashText(const std::string& text) {
  std::uint64_t hash = kHashBasis;
  for (const char letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kHashPrime;
  }
  return hash;
}

std::string TokenOf(std::uint64_t prompt_hash, int index) {
  const std::uint64_t mixed =
      (prompt_hash ^ static_cast<std::uint64_t>(index)) * kHashPrime;
  return fmt::format("{:08x} ", mixed >> 32U);
}

}  // namespace

std::string ExpectedToken(const std::string& prompt, int index) {
  return TokenOf(HashText(prompt), index);
}

std::string ExpectedAnswer(const std::string& prompt, int tokens) {
  const std::uint64_t prompt_hash = HashText(prompt);
  std::string answer;
  for (int index = 0; index < tokens; ++index) {
    answer += TokenOf(prompt_hash, index);
  }
  return answer;
}

}  // namespace kumquatcart::tools
