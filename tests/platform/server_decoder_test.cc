#include "platform/server_decoder.h"

#include <cstdint>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fakes/odd_server_entries.h"
#include "model/socket_address.h"

namespace kumquatcart {
namespace {

constexpr char kAddress[] = "10.1.0.9:8080";
constexpr std::size_t kMaxErrorBytes = 1000;  // Goes into one log line.

// Guards against an odd entry that is taken for a server: it is sent requests,
// or replaces a good entry, or its id breaks the encoding of a request.
TEST_CASE("An odd entry names no server") {
  REQUIRE(DecodeServerEntry("i1", ServerEntryWith(kAddress)).has_value());
  for (const OddServerEntry& entry : OddServerEntries(kAddress)) {
    INFO(entry.what);
    const Result<BackendServer> server =
        DecodeServerEntry(entry.id, entry.text);
    CHECK(server.has_error());
    if (server.has_error()) {
      CHECK(server.error().message.size() < kMaxErrorBytes);
    }
  }
}

TEST_CASE("Numbers at the limits of an entry are kept") {
  const auto with = [](const std::string& field, const std::string& value) {
    return DecodeServerEntry("i1", ServerEntryWith(kAddress, field, value));
  };
  CHECK(with("slots", "1").value().slots == 1);
  CHECK(with("slots", "1000000").value().slots == 1'000'000);
  CHECK(with("born", "0").value().started_ms == 0);
  CHECK(with("born", "1764900000000").value().started_ms == 1'764'900'000'000);
  CHECK(with("cold_left_ms", "12.5").value().cold_left ==
        std::chrono::microseconds(12'500));
  // Stays a duration that can be added to a time.
  CHECK(with("cold_left_ms", "253402300799999").value().cold_left ==
        std::chrono::hours(24));
  CHECK(with("cold_left_ms", "-1").has_error());
  CHECK(with("seq", "9223372036854775807").has_value());
  CHECK(with("address", "\"10.1.0.9:1\"").value().endpoint.port == 1);
  CHECK(with("address", "\"10.1.0.9:65535\"").value().endpoint.port == 65535);
  CHECK(with("address", "\"::1:80\"").value().endpoint.host == "::1");
}

// Guards against a member that counts as the head of its group.
TEST_CASE("A group without a rank is no membership") {
  const std::string group =
      R"({"group": {"name": "g", "epoch": 3, "state": "ready")";
  CHECK(!DecodeEngineReport(group + "}}").value().membership);
  CHECK(
      DecodeEngineReport(group + R"(, "rank": 2}})").value().membership->rank ==
      2);
}

// Guards against a report that is malformed in one number and is counted as
// that of a member.
TEST_CASE("An odd report is an error") {
  for (const char* field : {"born", "seq", "waiting", "running"}) {
    for (const char* value :
         {"-1", "1e300", "9223372036854775808", "18446744073709551615"}) {
      INFO(field << " " << value);
      CHECK(
          DecodeEngineReport("{\"" + std::string(field) + "\": " + value + "}")
              .has_error());
    }
  }
  CHECK(DecodeEngineReport(R"({"running": 4294967297})").has_error());
  CHECK(DecodeEngineReport(
            R"({"group": {"name": "g", "state": "ready", "epoch": 1e300}})")
            .has_error());
  CHECK(DecodeEngineReport("{\"models\": " + NestedArrays(kOddNesting) + "}")
            .has_error());
}

// JSON texts of numbers around the limits of their types, of other types and
// of nesting.
rc::Gen<std::string> JsonValue() {
  return rc::gen::oneOf(
      rc::gen::element<std::string>(
          "null", "true", "\"\"", "\"4\"", "[]", "{}", "NaN", "-0", "1e300",
          "-1e300", "1e-300", "1e400", "0.5", "4.0", "[1]", "{\"name\": 1}",
          "{\"name\": \"g\", \"state\": \"open\", \"epoch\": 1e30}"),
      rc::gen::map(rc::gen::pair(rc::gen::element<std::uint64_t>(
                                     0, 1ULL << 15, 1ULL << 16, 1ULL << 31,
                                     1ULL << 32, 1ULL << 53, 1ULL << 63, ~0ULL),
                                 rc::gen::inRange<std::uint64_t>(0, 5)),
                   [](const auto& number) {
                     return std::to_string(number.first + number.second - 2);
                   }),
      rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                   [](std::int64_t number) { return std::to_string(number); }),
      rc::gen::map(rc::gen::arbitrary<std::string>(),
                   [](const std::string& bytes) { return '"' + bytes + '"'; }),
      rc::gen::map(rc::gen::element(1, 5, 1000, kOddNesting),
                   [](int depth) { return NestedArrays(depth); }));
}

rc::Gen<std::string> Address() {
  return rc::gen::map(
      rc::gen::pair(
          rc::gen::element<std::string>("10.1.0.9", "::1", "0.0.0.0", "x", "",
                                        "fe80::1%1", "224.0.0.1"),
          rc::gen::element<std::string>("-1", "0", "1", "80", "65535", "65536",
                                        "99999999999", "+1", "", "1e3")),
      [](const auto& parts) {
        return '"' + parts.first + ':' + parts.second + '"';
      });
}

bool IsUsable(const BackendServer& server) {
  const auto address = ToTcpEndpoint(server.endpoint);
  return !server.id.empty() && !server.service.empty() && server.slots >= 1 &&
         server.slots <= 1'000'000 && server.started_ms >= 0 &&
         address.port() > 0 && !address.address().is_unspecified() &&
         (!server.membership ||
          (server.membership->rank >= 0 && server.membership->epoch >= 0));
}

// A function of its own because RC_ASSERT evaluates both operands of `||`.
bool IsUsableOrRefused(const std::string& id, const std::string& text) {
  const Result<BackendServer> server = DecodeServerEntry(id, text);
  return server.has_error() || IsUsable(server.value());
}

TEST_CASE("Any entry names a usable server or none") {
  CHECK(rc::check([] {
    const auto field = *rc::gen::element<std::string>(
        "service", "address", "zone", "version", "slots", "state", "seq",
        "cold_left_ms", "born", "domain", "models", "staged", "group", "extra");
    const std::string value =
        *(field == "address" ? rc::gen::oneOf(Address(), JsonValue())
                             : JsonValue());
    const std::string id = *rc::gen::oneOf(rc::gen::just<std::string>("i1"),
                                           rc::gen::arbitrary<std::string>());
    RC_ASSERT(IsUsableOrRefused(id, ServerEntryWith(kAddress, field, value)));
    static_cast<void>(
        DecodeEngineReport("{\"" + field + "\": " + value + "}").has_value());
  }));
}

}  // namespace
}  // namespace kumquatcart
