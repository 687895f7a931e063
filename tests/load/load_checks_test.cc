#include <chrono>

#include <catch2/catch.hpp>

#include "base/ids.h"
#include "common/expected_answer.h"
#include "load/execution_check.h"
#include "load/group_usage.h"
#include "load/prompts.h"
#include "load/summary.h"
#include "load/verdict.h"

namespace kumquatcart::load {
namespace {

PlannedRequest MakeRequest(RequestKind kind) {
  PlannedRequest request;
  request.kind = kind;
  request.request_id = "r1";
  request.prompt = "why";
  request.max_tokens = 3;
  return request;
}

std::string TokenEvent(const PlannedRequest& request, int index) {
  return R"(data: {"choices":[{"delta":{"content":")" +
         tools::ExpectedToken(EnginePrompt(request), index) + "\"}}]}\n\n";
}

Verdict JudgeStreamBody(const std::string& body) {
  EventStream stream;
  stream.Grow(body.substr(0, body.size() / 2));
  stream.Grow(body);
  CallAnswer answer;
  answer.status = 200;
  answer.body = body;
  answer.whole = true;
  return Judge(MakeRequest(RequestKind::kStreamed), "r1", answer, stream);
}

TEST_CASE("A stream is judged by its tokens and its end") {
  const PlannedRequest request = MakeRequest(RequestKind::kStreamed);
  const std::string two = TokenEvent(request, 0) + TokenEvent(request, 1);
  const std::string three = two + TokenEvent(request, 2);
  const std::string end = "data: [DONE]\n\n";
  const std::string error =
      "event: error\ndata: {\"error\":{\"outcome\":\"unknown\"}}\n\n";
  CHECK(JudgeStreamBody(three + end).fault == AnswerFault::kNone);
  CHECK(JudgeStreamBody(two + end).fault == AnswerFault::kWrongAnswer);
  CHECK(JudgeStreamBody(three + TokenEvent(request, 2) + end).fault ==
        AnswerFault::kWrongAnswer);
  CHECK(JudgeStreamBody(three).fault == AnswerFault::kSilentEnd);
  CHECK(JudgeStreamBody(two + error).outcome == "unknown");
  CHECK(JudgeStreamBody(two + error).fault == AnswerFault::kNone);
  CHECK(JudgeStreamBody(two + "event: error\ndata: {}\n\n").fault ==
        AnswerFault::kMissingOutcome);
}

Verdict JudgeServiceBody(const std::string& request_id,
                         const std::string& sent_body) {
  CallAnswer answer;
  answer.status = 200;
  answer.outcome = "completed";
  answer.whole = true;
  answer.body = R"({"request_id":")" + request_id + R"(","body_sha256":")" +
                Sha256Hex(sent_body) + "\"}";
  return Judge(MakeRequest(RequestKind::kKeyed), "r0", answer, EventStream());
}

TEST_CASE("A plain answer must belong to the request or its first try") {
  const std::string body = ServiceBody(MakeRequest(RequestKind::kKeyed));
  CHECK(JudgeServiceBody("r1", body).fault == AnswerFault::kNone);
  CHECK(JudgeServiceBody("r0", body).fault == AnswerFault::kNone);
  CHECK(JudgeServiceBody("r2", body).fault == AnswerFault::kWrongAnswer);
  CHECK(JudgeServiceBody("r1", "other").fault == AnswerFault::kWrongAnswer);
}

TEST_CASE("An answer without outcome or that breaks off is a fault") {
  CallAnswer answer;
  answer.status = 503;
  answer.whole = true;
  const PlannedRequest request = MakeRequest(RequestKind::kWhole);
  CHECK(Judge(request, "r1", answer, EventStream()).fault ==
        AnswerFault::kMissingOutcome);
  answer.whole = false;
  CHECK(Judge(request, "r1", answer, EventStream()).fault ==
        AnswerFault::kNoAnswer);
}

TEST_CASE("A plan depends on the seed only and keeps arrivals in order") {
  LoadSettings settings;
  settings.entries = {Endpoint{"127.0.0.1", 1}, Endpoint{"127.0.0.1", 2}};
  const std::vector<Caller> callers(3);
  const auto plan = PlanRequests(settings, callers, "run");
  REQUIRE(plan.size() > 100);
  const auto again = PlanRequests(settings, callers, "run");
  REQUIRE(again.size() == plan.size());
  for (std::size_t index = 0; index < plan.size(); ++index) {
    CHECK(plan[index].Tie() == again[index].Tie());
    CHECK((index == 0 || plan[index - 1].at <= plan[index].at));
  }
  settings.seed = 2;
  CHECK(PlanRequests(settings, callers, "run").front().Tie() !=
        plan.front().Tie());
}

SentRequest MakeSent(RequestKind kind,
                     const std::string& outcome,
                     const std::string& key = "") {
  SentRequest sent;
  sent.kind = kind;
  sent.request_id = "r1";
  sent.key = key;
  sent.verdict =
      Verdict{outcome, outcome == "completed" ? 200 : 503, AnswerFault::kNone};
  return sent;
}

TEST_CASE("Doubles and refusals that ran are found") {
  standins::ExecutionCounts counts;
  counts.by_request = {{"r1", 2}};
  counts.by_key = {{"k1", 2}};
  counts.generations = {{"r1", 2}};
  const auto check = [&](const SentRequest& sent) {
    return CheckExecutions({sent}, counts);
  };
  CHECK(check(MakeSent(RequestKind::kNonIdempotent, "completed"))
            .doubles.size() == 1);
  CHECK(check(MakeSent(RequestKind::kKeyed, "unknown", "k1")).doubles.size() ==
        1);
  CHECK(check(MakeSent(RequestKind::kIdempotent, "completed")).doubles.empty());
  CHECK(check(MakeSent(RequestKind::kStreamed, "completed")).doubles.empty());
  CHECK(check(MakeSent(RequestKind::kStreamed, "not-run"))
            .ran_though_refused.size() == 1);
  CHECK(check(MakeSent(RequestKind::kKeyed, "completed", "k2"))
            .never_ran.size() == 1);
  CHECK(check(MakeSent(RequestKind::kKeyed, "not-run", "k2"))
            .ran_though_refused.empty());
}

TEST_CASE("A run passes only when each kind was completed often enough") {
  RunRecord record;
  for (int number = 0; number < 9; ++number) {
    record.Add(MakeSent(RequestKind::kStreamed, "completed"));
  }
  record.Add(MakeSent(RequestKind::kStreamed, "not-run"));
  const auto enough = [&](double least) {
    return Summarise(record, {}, GroupUsage(), PassMarks{false, least})
        .enough_completed;
  };
  CHECK(enough(0.9));
  CHECK_FALSE(enough(0.95));
  record.Add(MakeSent(RequestKind::kKeyed, "not-run"));
  CHECK_FALSE(enough(0.9));
}

TEST_CASE("A run that cannot see the executions or has a wrong answer fails") {
  RunRecord record;
  const auto held = [&](bool checked) {
    ExecutionFindings findings;
    findings.checked = checked;
    return Summarise(record, findings, GroupUsage(), PassMarks{true, 0})
        .promises_held;
  };
  CHECK(held(true));
  CHECK_FALSE(held(false));
  SentRequest wrong = MakeSent(RequestKind::kStreamed, "completed");
  wrong.verdict.fault = AnswerFault::kWrongAnswer;
  record.Add(wrong);
  CHECK_FALSE(held(true));
}

TEST_CASE("Downtime and stranding are integrated between samples") {
  StatusSample sample;
  ReplicaGroup group;
  group.claim.group = GroupId("g");
  group.claim.members = {VmId("a"), VmId("b")};
  group.state = GroupState::kWhole;
  sample.groups.groups[group.claim.group] = group;
  sample.live_accelerators = {{VmId("a"), 8}, {VmId("b"), 8}};
  GroupUsage usage;
  const MonotonicTime start{};
  usage.Add(sample, start);
  sample.groups.groups[group.claim.group].state = GroupState::kIncomplete;
  sample.live_accelerators.erase(VmId("b"));
  usage.Add(sample, start + std::chrono::seconds(1));
  usage.Add(sample, start + std::chrono::seconds(3));
  CHECK(usage.DowntimeGroupSeconds() == Approx(2));
  CHECK(usage.StrandedAcceleratorSeconds() == Approx(16));
  CHECK(usage.FewestWholeGroups() == 0);
}

}  // namespace
}  // namespace kumquatcart::load
