#include "routing/circuit_breaker.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

CircuitBreaker MakeOpen(const ManualClock& clock) {
  CircuitBreaker circuit{CircuitPolicy()};
  for (int failure = 0; failure < 3; ++failure) {
    circuit.RecordFailure(clock.Now());
  }
  return circuit;
}

TEST_CASE("A circuit opens only after consecutive failures") {
  ManualClock clock;
  CircuitBreaker circuit{CircuitPolicy()};
  for (int round = 0; round < 5; ++round) {
    circuit.RecordFailure(clock.Now());
    circuit.RecordFailure(clock.Now());
    circuit.RecordSuccess();
  }
  REQUIRE(circuit.Allows(clock.Now()));
  REQUIRE_FALSE(MakeOpen(clock).Allows(clock.Now()));
}

TEST_CASE("An open circuit allows one probe at a time") {
  ManualClock clock;
  CircuitBreaker circuit = MakeOpen(clock);
  clock.Advance(milliseconds(499));
  REQUIRE_FALSE(circuit.Allows(clock.Now()));
  clock.Advance(milliseconds(1));
  REQUIRE(circuit.Allows(clock.Now()));
  circuit.RecordStart(clock.Now());
  REQUIRE_FALSE(circuit.Allows(clock.Now()));

  SECTION("a failed probe doubles the open time") {
    circuit.RecordFailure(clock.Now());
    clock.Advance(milliseconds(999));
    REQUIRE_FALSE(circuit.Allows(clock.Now()));
    clock.Advance(milliseconds(1));
    REQUIRE(circuit.Allows(clock.Now()));
  }
  SECTION("a successful probe closes the circuit") {
    circuit.RecordSuccess();
    REQUIRE(circuit.Allows(clock.Now()));
  }
  SECTION("the next probe is allowed after a cancelled one") {
    circuit.RecordNeutral();
    REQUIRE(circuit.Allows(clock.Now()));
  }
}

TEST_CASE("Late failures of earlier attempts do not extend the open time") {
  ManualClock clock;
  CircuitBreaker circuit = MakeOpen(clock);
  clock.Advance(milliseconds(400));
  circuit.RecordFailure(clock.Now());
  clock.Advance(milliseconds(100));
  REQUIRE(circuit.Allows(clock.Now()));
}

}  // namespace
}  // namespace kumquatcart
