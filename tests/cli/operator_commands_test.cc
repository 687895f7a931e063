#include "cli/operator_commands.h"

#include <chrono>
#include <map>
#include <optional>
#include <sstream>

#include <catch2/catch.hpp>

#include "fakes/counting_log.h"
#include "fakes/fake_log_service.h"
#include "model/change_set_builder.h"
#include "model/member.h"

namespace kumquatcart {
namespace {

class FakeVmList : public VmList {
 public:
  Result<VmTable> Fetch() override { return VmTable(); }
};

// Shared by every command of a test.
struct FakePlatform {
  ManualClock clock;
  FakeLogService log{clock};
  CountingLog counted{&log};
  FakeVmList vms;
  std::map<Endpoint, Json> statuses;
};

class FakeBackend : public OperatorBackend {
 public:
  explicit FakeBackend(FakePlatform* platform) : platform(platform) {}
  LogService* Log() override { return &this->platform->counted; }
  VmList* Vms() override { return &this->platform->vms; }
  Result<Json> FetchStatus(const Endpoint& endpoint) override {
    const auto found = this->platform->statuses.find(endpoint);
    if (found == this->platform->statuses.end()) {
      return MakeError(ErrorCode::kUnavailable, "connection refused");
    }
    return found->second;
  }

 private:
  FakePlatform* platform;
};

struct RunResult {
  ExitCode code;
  std::string output;
  std::string errors;
};

RunResult RunArguments(FakePlatform* platform,
                       const std::vector<std::string>& arguments,
                       const std::string& text = "") {
  CommandList commands;
  AddOperatorCommands(
      [platform](const OperatorOptions&, Clock*) {
        return std::make_unique<FakeBackend>(platform);
      },
      &commands);
  std::istringstream input(text);
  std::ostringstream output;
  std::ostringstream errors;
  const ExitCode code = RunCommandLine(
      arguments, commands, {input, output, errors, platform->clock});
  return {code, output.str(), errors.str()};
}

std::string OrganisationFile(const std::string& display_name) {
  return Json{{"objects",
               {{{"kind", "Organisation"},
                 {"name", "org"},
                 {"owner", "armor"},
                 {"spec", {{"display_name", display_name}}}}}}}
      .dump();
}

Offset LastRecord(FakePlatform* platform) {
  return platform->log.Read(kConfigStream, 1, 1, Duration::zero()).value().last;
}

bool Contains(const std::string& text, const std::string& part) {
  INFO(text);
  return text.find(part) != std::string::npos;
}

// Appends a change set that adds one organisation.
void AppendOrganisation(LogService* log, const std::string& name) {
  const ChangeSetBuilder builder =
      ChangeSetBuilder("add-" + name)
          .Put(ObjectKind::kOrganisation, name, Json::object());
  REQUIRE(log->Append(kConfigStream, builder.Build().id, builder.Payload())
              .has_value());
}

TEST_CASE("apply settles a lost answer and a lost request by itself") {
  FakePlatform platform;
  platform.log.LoseAnswers(1);
  const RunResult lost_answer =
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  REQUIRE(lost_answer.code == ExitCode::kDone);
  REQUIRE(lost_answer.output == "accepted at offset 1\n");
  REQUIRE(LastRecord(&platform) == 1);

  platform.log.LoseRequests(2);
  const RunResult lost_request =
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("b"));
  REQUIRE(lost_request.output == "accepted at offset 2\n");
  REQUIRE(LastRecord(&platform) == 2);
}

TEST_CASE("apply says unknown, and history settles it, while the log is away") {
  FakePlatform platform;
  platform.log.LoseAnswers(1);
  platform.log.GoDownAfterAppend();
  const RunResult unknown =
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  REQUIRE(unknown.code == ExitCode::kUnknown);
  const std::string command = "kumquatcart history --append-id ";
  const std::size_t place = unknown.errors.find(command);
  REQUIRE(place != std::string::npos);
  std::string id = unknown.errors.substr(place + command.size());
  id.pop_back();

  const std::vector<std::string> settle = {"history", "--append-id", id};
  REQUIRE(RunArguments(&platform, settle).code == ExitCode::kUnknown);
  platform.log.SetDown(false);
  REQUIRE(RunArguments(&platform, settle).code == ExitCode::kDone);
  REQUIRE(RunArguments(&platform, {"history", "--append-id", "other"}).code ==
          ExitCode::kUnknown);
}

TEST_CASE("apply publishes nothing when the log provably refused it") {
  FakePlatform platform;
  platform.log.RefuseAppends(1);
  const RunResult refused =
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  REQUIRE(refused.code == ExitCode::kRefused);
  REQUIRE(Contains(refused.errors, "nothing was published"));
  REQUIRE(LastRecord(&platform) == 0);
}

TEST_CASE("The second of two racing operators is refused") {
  FakePlatform platform;
  RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  platform.log.BeforeNextAppend([&platform] {
    REQUIRE(
        RunArguments(&platform, {"apply", "-"}, OrganisationFile("b")).code ==
        ExitCode::kDone);
  });
  const RunResult second =
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("c"));
  REQUIRE(second.code == ExitCode::kRefused);
  REQUIRE(Contains(second.errors,
                   "standard input: Organisation/org: field 'revision' is 1, "
                   "but the revision in force is 2"));
  REQUIRE(Contains(RunArguments(&platform, {"get", "Organisation"}).output,
                   "\"display_name\":\"b\""));
  const RunResult history = RunArguments(&platform, {"history"});
  REQUIRE(Contains(history.output, "refused"));
}

TEST_CASE("A repeated apply changes nothing and plan publishes nothing") {
  FakePlatform platform;
  RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  REQUIRE(Contains(
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("a")).output,
      "nothing to change"));
  REQUIRE(Contains(
      RunArguments(&platform, {"plan", "-"}, OrganisationFile("z")).output,
      "change Organisation/org\n    display_name: \"a\" -> \"z\""));
  REQUIRE(LastRecord(&platform) == 1);
}

TEST_CASE("Every error of a file is shown with the file and the object") {
  FakePlatform platform;
  const RunResult result = RunArguments(&platform, {"validate", "-"}, R"({
    "objects": [
      {"kind": "Organisation", "name": "org", "owner": "armor",
       "spec": {"weight": "heavy"}},
      {"kind": "Token", "name": "t", "owner": "armor",
       "spec": {"organisation": "nobody", "sha256": "00"}},
      {"kind": "Grant", "name": "g", "owner": "armor",
       "spec": {"object": "nothing", "to": "cedarline"}}]})");
  REQUIRE(result.code == ExitCode::kRefused);
  for (const char* const part :
       {"standard input: Organisation/org: field 'spec.weight' is \"heavy\"",
        "standard input: Token/t: field 'spec.sha256' is \"00\"",
        "standard input: Grant/g: field 'spec.object' is \"nothing\", but must "
        "name an existing object"}) {
    REQUIRE(Contains(result.errors, part));
  }
}

TEST_CASE("wait-in-force names the entry VMs that do not follow") {
  FakePlatform platform;
  Member slow;
  slow.identity.http_endpoint = {"127.0.0.1", 2};
  Member dead;
  dead.identity.http_endpoint = {"127.0.0.1", 3};
  dead.state = MemberState::kDead;
  platform.statuses[{"127.0.0.1", 1}] = {{"config_offset", 1},
                                         {"members", {slow, dead}}};
  platform.statuses[{"127.0.0.1", 2}] = {{"config_offset", 0},
                                         {"members", Json::array()}};
  const RunResult waited = RunArguments(
      &platform, {"apply", "-", "--wait-in-force", "--nodes", "127.0.0.1:1"},
      OrganisationFile("a"));
  REQUIRE(waited.code == ExitCode::kUnknown);
  REQUIRE(
      Contains(waited.errors, "not in force on 127.0.0.1:2: is at offset 0"));
  REQUIRE_FALSE(Contains(waited.errors, "127.0.0.1:3"));

  platform.statuses[{"127.0.0.1", 1}]["config_offset"] = 2;
  platform.statuses[{"127.0.0.1", 2}]["config_offset"] = 2;
  REQUIRE(
      RunArguments(&platform,
                   {"apply", "-", "--wait-in-force", "--nodes", "127.0.0.1:1"},
                   OrganisationFile("b"))
          .code == ExitCode::kDone);
}

// Guards against a command that reads the log without pause while the answers
// come at once and bring nothing new.
TEST_CASE("watch reads at a bounded rate while the log does not wait") {
  FakePlatform platform;
  RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  const MonotonicTime start = platform.clock.Now();
  platform.counted.reads = 0;
  bool published = false;
  platform.counted.answer_read =
      [&](const StreamName& stream, Offset) -> std::optional<Result<LogBatch>> {
    const bool is_time =
        platform.clock.Now() >= start + std::chrono::minutes(1);
    if (stream == kConfigStream && !published &&
        (is_time || platform.counted.reads >= 1000)) {
      published = true;
      AppendOrganisation(&platform.log, "late");
    }
    return std::nullopt;
  };
  const RunResult watched = RunArguments(&platform, {"watch", "--count", "1"});
  CHECK(watched.code == ExitCode::kDone);
  CHECK(Contains(watched.output, "Organisation/late"));
  CHECK(platform.counted.reads <= 20);
}

// Guards against commands that never end, and collect the same records until
// memory is used up, when the log repeats records from before the offset asked
// for.
TEST_CASE("Commands end with an error when the log repeats its records") {
  const std::string command = GENERATE("history", "get", "orders");
  FakePlatform platform;
  AppendOrganisation(&platform.log, "a");
  const StreamName repeated =
      command == "orders" ? kAuditStream : kConfigStream;
  const LogRecord record =
      platform.log.Read(kConfigStream, 1, 1, Duration::zero())
          .value()
          .records.front();
  platform.counted.answer_read =
      [&](const StreamName& stream, Offset) -> std::optional<Result<LogBatch>> {
    if (stream == repeated) {
      return LogBatch{1, 9, {record}};
    }
    return std::nullopt;
  };
  std::vector<std::string> arguments = {command, "Organisation"};
  if (command != "get") {
    arguments = {"history"};
  }
  if (command == "orders") {
    arguments.emplace_back("--orders");
  }
  const RunResult result = RunArguments(&platform, arguments);
  CHECK(result.code != ExitCode::kDone);
  CHECK(platform.counted.reads <= 10);
}

// Guards against further appends of a change set that the log acknowledged and
// whose record it does not give back yet.
TEST_CASE("apply appends an acknowledged change set once") {
  FakePlatform platform;
  platform.counted.answer_read = [](const StreamName& stream,
                                    Offset) -> std::optional<Result<LogBatch>> {
    if (stream == kConfigStream) {
      return LogBatch{1, 0, {}};
    }
    return std::nullopt;
  };
  const MonotonicTime start = platform.clock.Now();
  const RunResult result =
      RunArguments(&platform, {"apply", "-"}, OrganisationFile("a"));
  CHECK(result.code == ExitCode::kUnknown);
  CHECK(platform.counted.appends == 1);
  CHECK(platform.clock.Now() > start);
}

}  // namespace
}  // namespace kumquatcart
