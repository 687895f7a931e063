// What the versions of a soak change.
#include "soak/config_plan.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

constexpr char kKey[] = "lasting";

// The services that run the question; none if it is denied.
std::map<std::string, int> ServicesOf(const ConfigVersion& version,
                                      const ConfigQuestion& question) {
  const auto route = version.routes.find(question.path);
  return route == version.routes.end() || version.keys.count(question.key) == 0
             ? std::map<std::string, int>()
             : route->second;
}

TEST_CASE("A seed always gives the same versions") {
  ConfigPlan one(7, {"a", "b"}, kKey);
  ConfigPlan same(7, {"a", "b"}, kKey);
  ConfigPlan other(8, {"a", "b"}, kKey);
  bool differs = false;
  for (int i = 0; i < 10; ++i) {
    const ConfigVersion version = one.MakeNext(MonotonicTime());
    CHECK(version == same.MakeNext(MonotonicTime()));
    differs = version != other.MakeNext(MonotonicTime()) || differs;
  }
  CHECK(differs);
}

TEST_CASE("Each version handles otherwise what it names as changed") {
  const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 20)));
  ConfigPlan plan(seed, {"a", "b"}, kKey);
  ConfigVersion before = plan.MakeNext(MonotonicTime());
  for (int i = 0; i < 20; ++i) {
    const ConfigVersion version = plan.MakeNext(MonotonicTime());
    CHECK(version.number == before.number + 1);
    CHECK(version.keys.count(kKey) == 1);
    CHECK(version.routes.count(VersionPath(version.number)) == 1);
    for (const ConfigQuestion& question : version.questions) {
      CAPTURE(seed, version.number, question.about);
      CHECK(ServicesOf(version, question) != ServicesOf(before, question));
    }
    before = version;
  }
  std::vector<std::string> about;
  for (const ConfigQuestion& question : before.questions) {
    about.push_back(question.about);
  }
  for (const char* change :
       {"added", "moved", "dropped", "new key", "dropped key"}) {
    CHECK(std::count(about.begin(), about.end(), change) == 1);
  }
}

TEST_CASE("Versions keep the key of the one before and few added routes") {
  ConfigPlan plan(3, {"a", "b"}, kKey);
  for (int i = 0; i < 20; ++i) {
    const ConfigVersion version = plan.MakeNext(MonotonicTime());
    CHECK(version.keys.size() <= 3);
    CHECK(version.routes.size() <= 6 + 4);
  }
}

}  // namespace
}  // namespace kumquatcart::soak
