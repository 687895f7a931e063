#include "routing/backend_selector.h"

#include <algorithm>
#include <map>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

std::vector<Candidate> AnyCandidates() {
  const int count = *rc::gen::inRange(1, 20);
  std::vector<Candidate> candidates;
  for (int index = 0; index < count; ++index) {
    Candidate candidate;
    candidate.id = BackendId("b" + std::to_string(index));
    candidate.load = *rc::gen::inRange(0, 20);
    candidate.capacity = *rc::gen::inRange(1, 20);
    candidate.weight = *rc::gen::inRange(1, 11) / 10.0;
    candidate.distance = static_cast<Distance>(*rc::gen::inRange(0, 3));
    candidate.suspected = *rc::gen::inRange(0, 4) == 0;
    candidates.push_back(candidate);
  }
  return candidates;
}

bool TooManySuspected(const std::vector<Candidate>& candidates) {
  const auto suspected =
      std::count_if(candidates.begin(), candidates.end(),
                    [](const Candidate& c) { return c.suspected; });
  return 2 * suspected > static_cast<std::ptrdiff_t>(candidates.size());
}

// Reference implementation of the tier that a candidate is selected from.
std::vector<Candidate> ReferenceTier(const std::vector<Candidate>& candidates) {
  std::vector<Candidate> eligible;
  for (const Candidate& candidate : candidates) {
    if (!candidate.suspected || TooManySuspected(candidates)) {
      eligible.push_back(candidate);
    }
  }
  for (int distance = 0; distance < 3; ++distance) {
    std::vector<Candidate> tier;
    double sum = 0;
    for (const Candidate& candidate : eligible) {
      if (static_cast<int>(candidate.distance) == distance) {
        tier.push_back(candidate);
        sum += Utilisation(candidate);
      }
    }
    if (!tier.empty() && sum / static_cast<double>(tier.size()) < 0.9) {
      return tier;
    }
  }
  return eligible;
}

double Mean(const std::vector<Candidate>& tier) {
  double sum = 0;
  for (const Candidate& candidate : tier) {
    sum += Utilisation(candidate);
  }
  return sum / static_cast<double>(tier.size());
}

TEST_CASE(
    "The selected candidate is in the right tier and within the load bound") {
  rc::prop("the tier equals that of a reference implementation", [] {
    const std::vector<Candidate> candidates = AnyCandidates();
    const auto key = *rc::gen::arbitrary<std::uint64_t>();
    const auto random = *rc::gen::arbitrary<std::uint64_t>();
    const auto index = SelectBackend(candidates, key, {}, random);
    RC_ASSERT(index.has_value());
    const Candidate& chosen = candidates[*index];
    const std::vector<Candidate> tier = ReferenceTier(candidates);
    RC_ASSERT(std::count(tier.begin(), tier.end(), chosen) == 1);
    if (key != 0) {
      RC_ASSERT(Utilisation(chosen) <= 1.25 * Mean(tier) + 1e-9);
    }
  });
}

TEST_CASE("Two random choices never select the busiest of several") {
  rc::prop("the busiest is never the less utilised one", [] {
    std::vector<Candidate> candidates(*rc::gen::inRange(2, 10));
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      candidates[index].id = BackendId("b" + std::to_string(index));
      candidates[index].capacity = 100;
      candidates[index].load = static_cast<double>(index);
    }
    const auto random = *rc::gen::arbitrary<std::uint64_t>();
    const auto chosen = SelectBackend(candidates, 0, {}, random);
    RC_ASSERT(*chosen != candidates.size() - 1);
  });
}

TEST_CASE("Removing one backend server reassigns only its own prompts") {
  std::vector<Candidate> candidates(10);
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    candidates[index].id = BackendId("b" + std::to_string(index));
    candidates[index].capacity = 100;
  }
  const std::vector<Candidate> fewer(candidates.begin(), candidates.end() - 1);
  std::map<std::size_t, int> counts;
  for (int prompt = 0; prompt < 1000; ++prompt) {
    const std::uint64_t key = AffinityKey("prompt " + std::to_string(prompt));
    const std::size_t before = *SelectBackend(candidates, key, {}, 0);
    const std::size_t after = *SelectBackend(fewer, key, {}, 0);
    ++counts[before];
    if (before != candidates.size() - 1) {
      REQUIRE(after == before);
    }
  }
  for (const auto& [index, count] : counts) {
    REQUIRE(count > 50);
    REQUIRE(count < 200);
  }
}

TEST_CASE("Prompts with the same prefix have the same affinity key") {
  const std::string prefix(256, 'x');
  REQUIRE(AffinityKey(prefix + "a") == AffinityKey(prefix + "b"));
  REQUIRE(AffinityKey("a") != AffinityKey("b"));
  REQUIRE(AffinityKey("") == 0);
}

}  // namespace
}  // namespace kumquatcart
