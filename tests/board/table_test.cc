#include "board/table.h"

#include <thread>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("Concurrent updates of a table are all kept") {
  Table<int> table;
  std::vector<std::thread> writers;
  for (int writer = 0; writer < 4; ++writer) {
    writers.emplace_back([&] {
      for (int step = 0; step < 1000; ++step) {
        table.Update([](int value) { return value + 1; });
      }
    });
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  REQUIRE(*table.Read() == 4000);
  REQUIRE(table.Version() == 4000);
}

TEST_CASE("Subscribers are called only when the value changes") {
  Table<int> table;
  int notifications = 0;
  table.Subscribe([&](const std::shared_ptr<const int>&) { ++notifications; });
  table.Publish(0);
  table.Publish(5);
  table.Publish(5);
  REQUIRE(notifications == 1);
}

}  // namespace
}  // namespace kumquatcart
