#include <chrono>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "platform/http_engine_control.h"
#include "platform/http_vm_list.h"
#include "platform/http_weight_store.h"
#include "platform/scripted_server.h"

namespace kumquatcart {
namespace {

constexpr Duration kTimeout = std::chrono::minutes(1);

EngineOrder MakeOrder() {
  EngineOrder order;
  order.id = OrderId("order-1");
  order.vm = VmId("vm-1");
  order.fence = 4;
  return order;
}

std::string StatusBody() {
  EngineStatus status;
  status.vm = VmId("vm-1");
  status.fence = 4;
  return Json(status).dump();
}

TEST_CASE("An engine's status and order answers are decoded") {
  ScriptedServer server({Reply(200, StatusBody()), Reply(200, StatusBody())});
  ManualClock clock;
  HttpEngineControl control(&clock);
  CHECK(control.FetchStatus(server.Address(), kTimeout).value().fence == 4);
  CHECK(control.SendOrder(server.Address(), MakeOrder(), kTimeout).value().vm ==
        VmId("vm-1"));
  CHECK(server.Requests().back() ==
        "POST /engine/orders " + Json(MakeOrder()).dump());
}

TEST_CASE("An order's answer maps to what is known of its effect") {
  const auto [status, code] =
      GENERATE(table<int, ErrorCode>({{409, ErrorCode::kConflict},
                                      {503, ErrorCode::kUnavailable},
                                      {400, ErrorCode::kUnavailable},
                                      {500, ErrorCode::kUnknown}}));
  ScriptedServer server({Reply(status, R"({"error":"why"})")});
  ManualClock clock;
  HttpEngineControl control(&clock);
  const auto given = control.SendOrder(server.Address(), MakeOrder(), kTimeout);
  CHECK(given.error().code == code);
  CHECK(given.error().message.find("why") != std::string::npos);
}

TEST_CASE("An order whose answer is lost or late has an unknown effect") {
  const bool late = GENERATE(false, true);
  ManualClock clock;
  ScriptedServer server(
      {late ? Hold([&clock] { clock.Advance(kTimeout); }) : Cut()});
  HttpEngineControl control(&clock);
  CHECK(
      control.SendOrder(server.Address(), MakeOrder(), kTimeout).error().code ==
      ErrorCode::kUnknown);
}

TEST_CASE("A refused connection is unavailable for every call") {
  const Endpoint nobody = ClosedAddress();
  ManualClock clock;
  HttpEngineControl control(&clock);
  const ErrorCode refused = ErrorCode::kUnavailable;
  CHECK(control.FetchStatus(nobody, kTimeout).error().code == refused);
  CHECK(control.SendOrder(nobody, MakeOrder(), kTimeout).error().code ==
        refused);
  CHECK(control.ProbeService(nobody, kTimeout).error().code == refused);
}

TEST_CASE("A silent engine times out and the next call is answered") {
  ManualClock clock;
  ScriptedServer server({Hold([&clock] { clock.Advance(kTimeout); }),
                         Reply(200, StatusBody()), Reply(200, "{}")});
  HttpEngineControl control(&clock);
  CHECK(control.FetchStatus(server.Address(), kTimeout).error().code ==
        ErrorCode::kTimeout);
  CHECK(control.FetchStatus(server.Address(), kTimeout).has_value());
  CHECK(control.ProbeService(server.Address(), kTimeout).has_value());
}

TEST_CASE("The VM list is keyed by VM") {
  ScriptedServer server(
      {Reply(200, R"({"vms":[{"id":"a","role":"entry","state":"leaving"},
                             {"id":"b"}]})"),
       Reply(200, R"({"vms":5})"), Reply(500, "")});
  ManualClock clock;
  HttpVmList list(server.Url(), PlatformSettings{}, &clock);
  const VmTable table = list.Fetch().value();
  REQUIRE(table.vms.size() == 2);
  CHECK(table.vms.at(VmId("a")).state == VmState::kLeaving);
  CHECK(list.Fetch().error().code == ErrorCode::kUnavailable);
  CHECK(list.Fetch().error().code == ErrorCode::kUnavailable);
}

TEST_CASE("The weight store's status is decoded or times out") {
  ManualClock clock;
  ScriptedServer server(
      {Reply(200, R"({"bytes_per_second":9,"active_loads":2})"),
       Hold([&clock] { clock.Advance(kTimeout); })});
  HttpWeightStore store(server.Url(), PlatformSettings{}, &clock);
  CHECK(store.FetchStatus().value() == WeightStoreStatus{9, 2});
  CHECK(store.FetchStatus().error().code == ErrorCode::kTimeout);
}

}  // namespace
}  // namespace kumquatcart
