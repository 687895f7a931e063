#include "net/failure_boundary.h"

#include <functional>
#include <vector>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

TEST_CASE("Failures of input and resources are contained and counted") {
  EventLoop loop;
  MetricRegistry metrics;
  loop.Monitor()->SetMetrics(&metrics);
  const std::vector<std::function<void()>> failures = {
      [] { throw std::bad_alloc(); },
      [] { static_cast<void>(std::string(std::string().max_size() + 1, 'x')); },
      [] {
        throw std::system_error(
            std::make_error_code(std::errc::too_many_files_open));
      },
      [] {
        throw boost::system::system_error(boost::system::errc::make_error_code(
            boost::system::errc::too_many_files_open));
      },
      [] { const Json json = Json::parse("{"); },
  };
  for (const auto& failure : failures) {
    CHECK(!ContainFailure(&loop, "test", failure));
  }
  CHECK(ContainFailure(&loop, "test", [] {}));
  CHECK(metrics
            .GetCounter("kumquatcart_failed_exchanges_total",
                        {{"exchange", "test"}})
            .Value() == failures.size());
}

// Guards against a boundary that hides faults of the program.
TEST_CASE("Broken invariants pass the boundary") {
  EventLoop loop;
  CHECK_THROWS_AS(
      ContainFailure(&loop, "test", [] { std::vector<int>().at(1) = 2; }),
      std::out_of_range);
  CHECK_THROWS_AS(
      ContainFailure(&loop, "test",
                     [] { throw std::logic_error("broken invariant"); }),
      std::logic_error);
  CHECK_THROWS_AS(ContainFailure(&loop, "test", [] { throw 5; }), int);
}

TEST_CASE("The unwinding of a coroutine passes the boundary") {
  bool was_contained = false;
  {
    EventLoop loop;
    loop.Spawn([&](Coroutine yield) {
      was_contained = !ContainFailure(
          &loop, "test", [&] { loop.Sleep(std::chrono::hours(1), yield); });
    });
    RunCoroutine(&loop, [&](Coroutine yield) { loop.Yield(yield); });
    loop.UnwindCoroutines();
  }
  CHECK(!was_contained);
}

}  // namespace
}  // namespace kumquatcart
