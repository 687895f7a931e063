// Which servers count as cold, and the rate that they may receive. Guards
// against bursts to servers that have just started or returned.
#include "routing/cold_servers.h"

#include <string>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "server";
constexpr char kService[] = "service";
const MonotonicTime kStart{seconds(1000)};

BackendServer Entry(std::int64_t started_ms, Duration cold_left) {
  BackendServer server;
  server.id = kServer;
  server.service = kService;
  server.started_ms = started_ms;
  server.cold_left = cold_left;
  return server;
}

std::map<std::string, ServiceSpec> Services(double per_second) {
  ServiceSpec service;
  service.cold_time = seconds(3);
  service.cold_requests_per_second = per_second;
  return {{kService, service}};
}

// Guards against a rate that is within the bound on average only.
TEST_CASE("The rate for a cold server leaves room below the bound") {
  CHECK(SharedColdRate(23, {1.5, 5}) == 23);
  CHECK(SharedColdRate(23, {1, 0}) < 23 / 1.2);
  CHECK(SharedColdRate(0.5, {1, 0}) == 0);
  CHECK(SharedColdRate(-1, {1, 0}) == 0);
  CHECK(370 * LoneColdRate(23, 370) < 23);
}

// Guards against servers that are restrained where no service states a rate,
// and against an entry that is read before the configuration.
TEST_CASE("Servers are cold only where their service states a rate") {
  ColdServers servers({1.5, 5});
  CHECK_FALSE(servers.NoteEntry(Entry(1, seconds(3)), kStart));
  CHECK_FALSE(servers.FindRate(kServer, kStart));
  servers.SetServices(Services(0));
  CHECK_FALSE(servers.FindRate(kServer, kStart));
  servers.SetServices(Services(23));
  CHECK(servers.FindRate(kServer, kStart) == 23);
  CHECK(servers.FindEnd(kServer, kStart) == kStart + seconds(3));
  CHECK_FALSE(servers.FindRate(kServer, kStart + seconds(3)));
}

// Guards against a server that stays restrained for good by what it states, or
// that an entry of a former start makes warm.
TEST_CASE("The time for which a server is cold is bounded") {
  ColdServers servers({1.5, 5});
  servers.SetServices(Services(23));
  CHECK_FALSE(servers.NoteEntry(Entry(5, Duration{0}), kStart));
  CHECK(servers.NoteEntry(Entry(6, std::chrono::hours(24)), kStart));
  CHECK(servers.FindEnd(kServer, kStart) == kStart + kMaxStatedColdTime);
  CHECK_FALSE(servers.NoteEntry(Entry(5, Duration{0}), kStart));
  CHECK(servers.FindRate(kServer, kStart));
  CHECK_FALSE(servers.NoteEntry(Entry(6, Duration{0}), kStart));
  CHECK_FALSE(servers.FindRate(kServer, kStart));
}

// Guards against a burst to a server that became cold while it was out of
// reach, before its entry states it.
TEST_CASE("A server that returns is cold until its start time has passed") {
  ColdServers servers({1.5, 5});
  servers.SetServices(Services(23));
  CHECK_FALSE(servers.NoteReturn(kServer, kStart));
  servers.NoteEntry(Entry(1, Duration{0}), kStart);
  CHECK(servers.NoteReturn(kServer, kStart));
  // An entry from before the return arrives late.
  servers.NoteEntry(Entry(1, Duration{0}), kStart + milliseconds(100));
  CHECK(servers.FindEnd(kServer, kStart + milliseconds(100)) ==
        kStart + seconds(3));
  servers.NoteEntry(Entry(2, Duration{0}), kStart + milliseconds(200));
  CHECK_FALSE(servers.FindEnd(kServer, kStart + milliseconds(200)));
  CHECK(servers.Count(kStart + milliseconds(200)) == 0);
}

}  // namespace
}  // namespace kumquatcart
