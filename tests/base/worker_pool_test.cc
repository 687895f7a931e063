#include "base/worker_pool.h"

#include <atomic>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("RunAll returns after every function has run, also from a worker") {
  WorkerPool pool(2);
  std::atomic<int> count{0};
  std::vector<std::function<void()>> outer;
  for (int index = 0; index < 8; ++index) {
    outer.push_back([&] {
      pool.RunAll({[&] { ++count; }, [&] { ++count; }, [&] { ++count; }});
    });
  }
  pool.RunAll(outer);
  REQUIRE(count == 24);
}

TEST_CASE("Stop runs queued work and discards work posted later") {
  WorkerPool pool(1);
  std::atomic<int> count{0};
  for (int index = 0; index < 10; ++index) {
    pool.Post([&] { ++count; });
  }
  pool.Stop();
  pool.Post([&] { ++count; });
  REQUIRE(count == 10);
}

}  // namespace
}  // namespace kumquatcart
