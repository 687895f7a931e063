#include "entry/event_splitter.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("The stream is split after the empty line of each event") {
  EventSplitter splitter;
  const auto events =
      splitter.Feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
  REQUIRE(events.size() == 2);
  CHECK(events[0] == StreamEvent{"id: 1\ndata: a\n\n", 1});
  CHECK(events[1].id == 2);
  CHECK(splitter.Partial() == "id: 3\nda");
}

TEST_CASE("An event may begin with another field than its id") {
  EventSplitter splitter;
  const auto events = splitter.Feed("x-weight-versions: 3\nid: 8\ndata: a\n\n");
  REQUIRE(events.size() == 1);
  CHECK(events[0].id == 8);
}

TEST_CASE("No byte is lost wherever the input is split") {
  CHECK(rc::check([](const std::string& text, std::size_t cut) {
    EventSplitter splitter;
    const std::size_t at = text.empty() ? 0 : cut % text.size();
    std::string joined;
    for (const std::string& part : {text.substr(0, at), text.substr(at)}) {
      for (const StreamEvent& event : splitter.Feed(part)) {
        joined += event.text;
      }
    }
    RC_ASSERT(joined + splitter.Partial() == text);
  }));
}

}  // namespace
}  // namespace kumquatcart
