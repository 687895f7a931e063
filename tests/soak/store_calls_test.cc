// How many calls of the store the soak counts.
#include "soak/store_calls.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Calls are counted in any interval, not in those of a grid") {
  StoreCalls calls;
  CHECK(calls.MostWithin(seconds(1)) == 0);
  CHECK(calls.MedianPerSecond() == 0);
  const MonotonicTime start{seconds(100)};
  for (const int at_ms : {0, 900, 950, 1100, 1899, 1900, 4000}) {
    calls.Note(start + milliseconds(at_ms));
  }
  CHECK(calls.MostWithin(seconds(1)) == 4);
  CHECK(calls.MostWithin(seconds(2)) == 6);
  CHECK(calls.MedianPerSecond() == 1);  // Of 3, 3, 0, 0 and 1.
}

}  // namespace
}  // namespace kumquatcart::soak
