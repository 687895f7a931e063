#include "peers/rendezvous.h"

namespace kumquatcart {

namespace {

// Finaliser of SplitMix64: every input bit affects all output bits.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::uint64_t StableHash(const std::string& text) {
  // FNV-1a.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  return Mix(hash);
}

std::uint64_t RendezvousScore(std::uint64_t subject, std::uint64_t candidate) {
  return Mix(Mix(subject) + candidate);
}

}  // namespace kumquatcart
