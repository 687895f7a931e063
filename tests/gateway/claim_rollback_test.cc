// The stream of claims comes back from an older copy: its newest records are
// lost and their offsets are given out again.
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "fakes/counting_log.h"
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

// One entry VM, stepped by the test.
struct KeyedVm {
  KeyedVm(ManualClock* clock, LogService* log)
      : store(clock, log, &this->metrics, ClaimSettings()) {}

  void Claim(const std::string& key) {
    this->answer.reset();
    this->store.Claim(
        {ObjectName("concours"), ServiceName("registre"), IdempotencyKey(key)},
        "d", std::chrono::seconds(5), [this](Result<ClaimVerdict> verdict) {
          this->answer.emplace(std::move(verdict));
        });
    this->store.RunOnce();
  }

  void Complete(const std::string& key, const std::string& body) {
    ClaimSettlement settlement;
    settlement.outcome = RequestOutcome::kCompleted;
    settlement.answer = {200, "text/plain", body, false};
    this->store.Settle(
        {ObjectName("concours"), ServiceName("registre"), IdempotencyKey(key)},
        settlement);
    this->store.RunOnce();
  }

  bool Owns() const {
    return this->answer.has_value() && this->answer->has_value() &&
           this->answer->value().state == ClaimState::kOwned;
  }

  MetricRegistry metrics;
  ClaimLog store;
  std::optional<Result<ClaimVerdict>> answer;
};

struct KeyedVms {
  ManualClock clock;
  FakeLogService log{this->clock};
  KeyedVm first{&this->clock, &this->log};
  KeyedVm second{&this->clock, &this->log};
};

// Guards against a request that runs twice, because its VM passes over the
// claim of another one that has taken the offset of a lost claim.
TEST_CASE("A claim at the offset of a lost one is read", "[claim]") {
  const bool is_longer = GENERATE(false, true);
  KeyedVms vms;
  vms.first.Claim("a");
  REQUIRE(vms.first.Owns());
  vms.log.RestoreBefore(kClaimStream, 1);
  vms.clock.Advance(std::chrono::seconds(1));
  vms.second.Claim("b");
  REQUIRE(vms.second.Owns());
  if (is_longer) {
    vms.second.Claim("c");
    REQUIRE(vms.second.Owns());
  }
  vms.first.Claim("b");
  CHECK_FALSE(vms.first.Owns());
}

// Guards against a request that runs again through a VM that has never read its
// claim, although the VM that ran it still has claim and answer.
TEST_CASE("A VM appends its lost claims and answers again", "[claim]") {
  const bool is_refused_once = GENERATE(false, true);
  KeyedVms vms;
  vms.first.Claim("x");
  REQUIRE(vms.first.Owns());
  vms.first.Claim("a");
  REQUIRE(vms.first.Owns());
  vms.first.Complete("a", "booked");
  vms.log.RestoreBefore(kClaimStream, 2);
  vms.clock.Advance(std::chrono::seconds(1));
  vms.log.RefuseAppends(is_refused_once ? 1 : 0);
  vms.first.Claim("b");
  vms.first.store.RunOnce();
  REQUIRE(vms.first.Owns());
  vms.second.Claim("a");
  REQUIRE(vms.second.answer.has_value());
  CHECK(vms.second.answer->value().state == ClaimState::kCompleted);
  CHECK(vms.second.answer->value().answer.body == "booked");
  // Nothing else is appended again.
  const int appends = vms.log.AppendCount();
  vms.first.Claim("a");
  CHECK_FALSE(vms.first.Owns());
  CHECK(vms.log.AppendCount() == appends);
}

// Guards against a claim that ends as refused, because its record was lost
// after it was acknowledged and is waited for.
TEST_CASE("A claim whose record was lost before it was read is appended again",
          "[claim]") {
  ManualClock clock;
  FakeLogService log(clock);
  CountingLog counted(&log);
  KeyedVm vm(&clock, &counted);
  vm.Claim("a");
  REQUIRE(vm.Owns());
  bool is_restored = false;
  counted.answer_read = [&](const StreamName&,
                            Offset) -> std::optional<Result<LogBatch>> {
    if (counted.appends == 2 && !is_restored) {
      is_restored = true;
      log.RestoreBefore(kClaimStream, 1);
    }
    return std::nullopt;
  };
  vm.Claim("b");
  REQUIRE(is_restored);
  CHECK_FALSE(vm.Owns());
  vm.store.RunOnce();
  CHECK(vm.Owns());
}

}  // namespace
}  // namespace kumquatcart
