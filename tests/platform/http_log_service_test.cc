#include <chrono>

#include <catch2/catch.hpp>

#include "platform/http_log_service.h"
#include "platform/scripted_server.h"

namespace kumquatcart {
namespace {

const StreamName kStream("config");
const AppendId kAppend("append-1");

// Only the manual clock ends a call early.
PlatformSettings LongSettings() {
  PlatformSettings settings;
  settings.append_timeout = std::chrono::minutes(1);
  settings.read_timeout = std::chrono::minutes(1);
  settings.list_timeout = std::chrono::minutes(1);
  return settings;
}

class LogFixture {
 public:
  explicit LogFixture(std::vector<ScriptedAnswer> script)
      : server(std::move(script)),
        log(this->server.Url(), LongSettings(), &this->clock) {}

  Result<Offset> Append() { return this->log.Append(kStream, kAppend, "{}"); }
  Result<LogBatch> Read() {
    return this->log.Read(kStream, 7, 10, std::chrono::milliseconds(200));
  }

  ManualClock clock;
  ScriptedServer server;
  HttpLogService log;
};

TEST_CASE("An append answer maps to what is known of its effect") {
  const auto [status, code] =
      GENERATE(table<int, ErrorCode>({{429, ErrorCode::kExhausted},
                                      {503, ErrorCode::kUnavailable},
                                      {404, ErrorCode::kUnavailable},
                                      {500, ErrorCode::kUnknown},
                                      {502, ErrorCode::kUnknown}}));
  LogFixture fixture({Reply(status, "{}")});
  const Result<Offset> offset = fixture.Append();
  REQUIRE_FALSE(offset.has_value());
  CHECK(offset.error().code == code);
}

TEST_CASE("An append returns its offset") {
  LogFixture fixture({Reply(200, R"({"offset": 41})")});
  REQUIRE(fixture.Append().value() == 41);
  CHECK(fixture.server.Requests().front() ==
        R"(POST /log/config {"append_id":"append-1","payload":"{}"})");
}

TEST_CASE("An append answered without an offset has an unknown effect") {
  LogFixture fixture({Reply(200, "{}")});
  CHECK(fixture.Append().error().code == ErrorCode::kUnknown);
}

TEST_CASE("An append on a refused connection was not appended") {
  ManualClock clock;
  HttpLogService log("http://" + ClosedAddress().ToString(), LongSettings(),
                     &clock);
  CHECK(log.Append(kStream, kAppend, "{}").error().code ==
        ErrorCode::kUnavailable);
}

TEST_CASE("An append whose answer is lost has an unknown effect") {
  LogFixture fixture({Cut()});
  CHECK(fixture.Append().error().code == ErrorCode::kUnknown);
}

TEST_CASE("A silent append ends at its time bound with an unknown effect") {
  ManualClock* clock = nullptr;
  LogFixture fixture(
      {Hold([&clock] { clock->Advance(std::chrono::minutes(1)); })});
  clock = &fixture.clock;
  CHECK(fixture.Append().error().code == ErrorCode::kUnknown);
}

TEST_CASE("An append is sent once when its connection closes unanswered") {
  LogFixture fixture({Reply(200, R"({"offset": 1})"), Close(),
                      Reply(200, R"({"offset": 2})")});
  REQUIRE(fixture.Append().has_value());
  const Result<Offset> lost = fixture.Append();
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().code == ErrorCode::kUnknown);
  CHECK(fixture.server.Requests().size() == 2);
}

TEST_CASE("A read returns the batch") {
  LogFixture fixture({Reply(200,
                            R"({"first_retained":3,"last":7,"records":[
      {"offset":7,"time_unix_ms":5,"append_id":"a","payload":"p"}]})")});
  const LogBatch batch = fixture.Read().value();
  CHECK(batch.first_retained == 3);
  CHECK(batch.records ==
        std::vector<LogRecord>{LogRecord{7, 5, AppendId("a"), "p"}});
  CHECK(fixture.server.Requests().front() ==
        "GET /log/config?from=7&max=10&wait_ms=200 ");
}

TEST_CASE("A read whose reused connection closes is answered or unavailable") {
  const std::string body = R"({"first_retained":1,"last":0,"records":[]})";
  LogFixture fixture({Reply(200, body), Close(), Reply(200, body)});
  REQUIRE(fixture.Read().has_value());
  const Result<LogBatch> again = fixture.Read();
  CHECK((again.has_value() || again.error().code == ErrorCode::kUnavailable));
}

TEST_CASE("A read below retention is expired and names the first offset") {
  LogFixture fixture({Reply(410, R"({"first_retained":9})")});
  const Result<LogBatch> batch = fixture.Read();
  CHECK(batch.error().code == ErrorCode::kExpired);
  CHECK(batch.error().message.find('9') != std::string::npos);
}

TEST_CASE("A read without a usable answer is unavailable") {
  const auto answer = GENERATE(0, 1, 2);
  const std::vector<ScriptedAnswer> answers = {Cut(), Reply(503, "{}"),
                                               Reply(200, R"({"records": 5)")};
  // The library repeats a read whose reused connection closed; the first one
  // is on a new connection.
  LogFixture fixture({answers[static_cast<std::size_t>(answer)]});
  CHECK(fixture.Read().error().code == ErrorCode::kUnavailable);
}

TEST_CASE("A silent read times out beyond its own wait") {
  ManualClock* clock = nullptr;
  bool early = true;
  LogFixture fixture({Hold([&] {
    clock->Advance(std::chrono::minutes(1));
    early = false;
    clock->Advance(std::chrono::milliseconds(200));
  })});
  clock = &fixture.clock;
  CHECK(fixture.Read().error().code == ErrorCode::kTimeout);
  CHECK_FALSE(early);
}

}  // namespace
}  // namespace kumquatcart
