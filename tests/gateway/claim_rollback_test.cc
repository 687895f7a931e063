// The stream of claims comes back from an older copy: its newest records are
// lost and their offsets are given out again.
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "fakes/fake_log_service.h"
#include "gateway/claim_log.h"

namespace kumquatcart {
namespace {

// Guards against an entry VM that rejects every keyed request until the stream
// has grown beyond its former end: it does not read the records below.
TEST_CASE("Keys are claimed after the log was rolled back", "[claim]") {
  ManualClock clock;
  FakeLogService log(clock);
  MetricRegistry metrics;
  ClaimLog store(&clock, &log, &metrics, ClaimSettings());
  const auto claim = [&](const std::string& key) {
    std::optional<Result<ClaimVerdict>> answer;
    store.Claim(
        {ObjectName("concours"), ServiceName("registre"), IdempotencyKey(key)},
        "d", std::chrono::seconds(5), [&answer](Result<ClaimVerdict> verdict) {
          answer.emplace(std::move(verdict));
        });
    for (int round = 0; round < 100 && !answer.has_value(); ++round) {
      store.RunOnce();
      clock.Advance(ClaimSettings().batch_interval);
    }
    return answer;
  };
  for (const char* const key : {"a", "b", "c", "d", "e", "f"}) {
    REQUIRE(claim(key)->value().state == ClaimState::kOwned);
  }
  log.RestoreBefore(kClaimStream, 2);
  const auto answer = claim("g");
  REQUIRE(answer.has_value());
  REQUIRE(answer->has_value());
  CHECK(answer->value().state == ClaimState::kOwned);
}

}  // namespace
}  // namespace kumquatcart
