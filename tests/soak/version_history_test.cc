// Which version the store holds without a break.
#include "soak/version_history.h"

#include <catch2/catch.hpp>

namespace kumquatcart::soak {
namespace {

using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};

MonotonicTime At(int second) {
  return kStart + seconds(second);
}

// Versions 1 to 3 are confirmed, the last two are lost at 10, and the newest is
// written again at 12.
TEST_CASE("A lost version is held again once it is written again") {
  VersionHistory history;
  CHECK(history.NewestHeld(At(99), At(99)) == 0);
  for (const int version : {1, 2, 3}) {
    history.NoteConfirmed(version, At(version));
  }
  history.NoteLoss(2, At(10));
  history.NoteConfirmed(3, At(12));
  CHECK(history.NewestHeld(At(1), At(9)) == 0);
  CHECK(history.NewestHeld(At(3), At(9)) == 2);
  CHECK(history.NewestHeld(At(9), At(9)) == 3);
  CHECK(history.NewestHeld(At(9), At(10)) == 1);
  CHECK(history.NewestHeld(At(12), At(20)) == 1);
  CHECK(history.NewestHeld(At(13), At(20)) == 3);
}

}  // namespace
}  // namespace kumquatcart::soak
