#include "base/ids.h"

#include <array>
#include <cstdint>

#include <fmt/format.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include "base/base_constants.h"
#include "base/soft_assert.h"

namespace kumquatcart {

namespace {

template <std::size_t Size>
std::string ToHex(const std::array<unsigned char, Size>& bytes) {
  std::string hex;
  hex.reserve(2 * Size);
  for (const unsigned char byte : bytes) {
    fmt::format_to(std::back_inserter(hex), "{:02x}", byte);
  }
  return hex;
}

}  // namespace

std::string MakeRandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes{};
  KC_CHECK_SOFT(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  return ToHex(bytes);
}

std::string Sha256Hex(const std::string& text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return ToHex(digest);
}

}  // namespace kumquatcart
