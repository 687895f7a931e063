// Keyed requests through several entry VMs over one log with faults.
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "fakes/captured_log.h"
#include "fakes/counting_log.h"
#include "fakes/fake_log_service.h"
#include "gateway/claim_log.h"

namespace kumquatcart {
namespace {

const ClaimKey kKey{ObjectName("concours"), ServiceName("registre"),
                    IdempotencyKey("k")};

// One entry VM's store, stepped by the test.
class EntryVm {
 public:
  EntryVm(ManualClock* clock, FakeLogService* log)
      : store(clock, log, &this->metrics, ClaimSettings()) {}

  std::optional<Result<ClaimVerdict>> Claim(const std::string& digest = "d") {
    const auto answer = std::make_shared<std::optional<Result<ClaimVerdict>>>();
    this->last = answer;
    this->store.Claim(kKey, digest, std::chrono::seconds(5),
                      [answer](Result<ClaimVerdict> verdict) {
                        answer->emplace(std::move(verdict));
                      });
    this->store.RunOnce();
    return *answer;
  }

  void Settle(RequestOutcome outcome, const std::string& body = {}) {
    ClaimSettlement settlement;
    settlement.outcome = outcome;
    settlement.answer = {200, "text/plain", body, false};
    this->store.Settle(kKey, settlement);
    this->store.RunOnce();
  }

  MetricRegistry metrics;
  ClaimLog store;
  std::shared_ptr<std::optional<Result<ClaimVerdict>>> last;
};

struct TwoVms {
  ManualClock clock;
  FakeLogService log{this->clock};
  EntryVm first{&this->clock, &this->log};
  EntryVm second{&this->clock, &this->log};
};

TEST_CASE("A repeat through another entry VM gets the first one's answer",
          "[claim]") {
  TwoVms vms;
  CHECK(vms.first.Claim()->value().state == ClaimState::kOwned);
  CHECK_FALSE(vms.second.Claim().has_value());
  vms.first.Settle(RequestOutcome::kCompleted, "booked");
  vms.second.store.RunOnce();
  REQUIRE(vms.second.last->has_value());
  CHECK((*vms.second.last)->value().state == ClaimState::kCompleted);
  CHECK((*vms.second.last)->value().answer.body == "booked");
  CHECK(vms.second.Claim("other")->value().state == ClaimState::kMismatch);
}

TEST_CASE("An entry VM that dies leaves the outcome unknown", "[claim]") {
  TwoVms vms;
  CHECK(vms.first.Claim()->value().state == ClaimState::kOwned);
  CHECK_FALSE(vms.second.Claim().has_value());
  vms.clock.Advance(std::chrono::seconds(6));
  vms.second.store.RunOnce();
  REQUIRE(vms.second.last->has_value());
  CHECK((*vms.second.last)->value().state == ClaimState::kUnknown);
}

TEST_CASE("A request that was not run may be claimed again", "[claim]") {
  TwoVms vms;
  vms.first.Claim();
  vms.first.Settle(RequestOutcome::kNotRun);
  CHECK(vms.second.Claim()->value().state == ClaimState::kOwned);
}

TEST_CASE("A lost append answer is settled by reading back", "[claim]") {
  TwoVms vms;
  vms.log.LoseAnswers(1);
  CHECK(vms.first.Claim()->value().state == ClaimState::kOwned);
  CHECK_FALSE(vms.second.Claim().has_value());
  CHECK(vms.log.AppendCount() == 1);
}

TEST_CASE("A lost append request is sent again", "[claim]") {
  TwoVms vms;
  vms.log.LoseRequests(1);
  CHECK_FALSE(vms.first.Claim().has_value());
  vms.first.store.RunOnce();
  CHECK((*vms.first.last)->value().state == ClaimState::kOwned);
}

TEST_CASE("Without the log a keyed request is refused at once", "[claim]") {
  TwoVms vms;
  vms.log.SetDown(true);
  const auto refused = vms.first.Claim();
  REQUIRE(refused.has_value());
  CHECK(refused->error().code == ErrorCode::kUnavailable);
  CHECK(refused->error().retry_after_ms > 0);
}

TEST_CASE("A key is forgotten after its window", "[claim]") {
  ClaimTable table(std::chrono::seconds(10));
  ClaimEntry claim;
  claim.key = kKey;
  claim.claim = AttemptId("a");
  table.Apply(ClaimRecord{{claim}}, 1000);
  claim.claim = AttemptId("b");
  table.Apply(ClaimRecord{{claim}}, 5000);
  CHECK(table.Find(kKey)->claim == AttemptId("a"));
  table.Apply(ClaimRecord{{claim}}, 12000);
  CHECK(table.Find(kKey)->claim == AttemptId("b"));
}

TEST_CASE("Many claims share one append", "[claim]") {
  ManualClock clock;
  FakeLogService log(clock);
  MetricRegistry metrics;
  ClaimLog store(&clock, &log, &metrics, ClaimSettings());
  int owned = 0;
  for (int index = 0; index < 100; ++index) {
    ClaimKey key = kKey;
    key.key = IdempotencyKey(std::to_string(index));
    store.Claim(key, "d", std::chrono::seconds(5),
                [&owned](const Result<ClaimVerdict>& verdict) {
                  owned += verdict.value().state == ClaimState::kOwned ? 1 : 0;
                });
  }
  store.RunOnce();
  CHECK(owned == 100);
  CHECK(log.AppendCount() == 1);
}

// Guards against a reading loop without end, in which every keyed request of
// the VM waits until its caller gives up: the log answers every read as past
// retention, or without the records that it says it has.
TEST_CASE("A log that brings no records ends the round and refuses the claim",
          "[claim]") {
  const bool is_expired = GENERATE(true, false);
  ManualClock clock;
  FakeLogService log(clock);
  CountingLog counted(&log);
  counted.answer_read = [&](const StreamName&,
                            Offset from) -> std::optional<Result<LogBatch>> {
    if (is_expired && from < 1'000'000) {
      return MakeError(ErrorCode::kExpired, "first retained offset is 5");
    }
    return LogBatch{5, 9, {}};
  };
  MetricRegistry metrics;
  ClaimLog store(&clock, &counted, &metrics, ClaimSettings());
  const CapturedLog lines;
  std::optional<Result<ClaimVerdict>> answer;
  store.Claim(kKey, "d", std::chrono::seconds(5),
              [&answer](Result<ClaimVerdict> verdict) {
                answer.emplace(std::move(verdict));
              });
  store.RunOnce();
  CHECK(counted.reads <= 4);
  REQUIRE(answer.has_value());
  REQUIRE(answer->has_error());
  CHECK(answer->error().code == ErrorCode::kUnavailable);
  CHECK(lines.CountLines("claim_log_read_failed") == 1);
}

// Guards against appends at the full batch rate while every answer is lost: an
// append that may have taken effect counts as progress only when its record is
// read, not when records of other entry VMs are.
TEST_CASE("Appends whose answers are lost are repeated at a bounded rate",
          "[claim]") {
  const bool others_append = GENERATE(false, true);
  ManualClock clock;
  FakeLogService log(clock);
  CountingLog counted(&log);
  counted.answer_read = [&](const StreamName&,
                            Offset from) -> std::optional<Result<LogBatch>> {
    if (!others_append) {
      return std::nullopt;
    }
    // A read repeats the last record; the one after it is new each time.
    const std::string payload = Json(ClaimRecord()).dump();
    return LogBatch{1,
                    from + 1,
                    {{from, 0, AppendId("other"), payload},
                     {from + 1, 0, AppendId("other"), payload}}};
  };
  log.LoseRequests(1'000'000);
  MetricRegistry metrics;
  const ClaimSettings settings;
  ClaimLog store(&clock, &counted, &metrics, settings);
  const MonotonicTime start = clock.Now();
  store.Start();
  store.Claim(kKey, "d", std::chrono::seconds(5),
              [](const Result<ClaimVerdict>&) {});
  while (counted.appends < 100) {
    std::this_thread::yield();
  }
  store.Stop();
  const Duration elapsed = clock.Now() - start;
  CHECK(counted.appends <= elapsed / (settings.batch_interval * 10) + 6);
}

}  // namespace
}  // namespace kumquatcart
