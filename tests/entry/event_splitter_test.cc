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

TEST_CASE("Lines may end with CR alone") {
  EventSplitter splitter;
  const auto events = splitter.Feed("x: 1\rid: 1\rdata: a\r\rid: 2\rdata: b\r");
  REQUIRE(events.size() == 1);
  CHECK(events[0] == StreamEvent{"x: 1\rid: 1\rdata: a\r\r", 1});
  // The event is complete without the byte after it.
  CHECK(splitter.Feed("\r").size() == 1);
  CHECK(splitter.Partial().empty());
}

// Guards against a CR LF that is taken for two line ends, and so for the empty
// line of an event, or for one that is complete without its LF.
TEST_CASE("An event that ends with CR LF is complete with its LF") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\r").empty());
  CHECK(splitter.Feed("\ndata: a\r\n").empty());
  CHECK(splitter.Feed("\r").empty());
  CHECK(splitter.Partial() == "id: 1\r\ndata: a\r\n\r");
  const auto events = splitter.Feed("\n");
  REQUIRE(events.size() == 1);
  CHECK(events[0] == StreamEvent{"id: 1\r\ndata: a\r\n\r\n", 1});
}

// The naive splitter sees the whole text at once.
TEST_CASE("Events are the same wherever the input is split") {
  CHECK(rc::check([] {
    const auto line_end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const int count = *rc::gen::inRange(1, 5);
    std::string text;
    std::vector<StreamEvent> expected;
    for (int id = 1; id <= count; ++id) {
      std::string event = "id: " + std::to_string(id);
      event += line_end + "data: a";
      event += line_end + line_end;
      text += event;
      expected.push_back({event, id});
    }
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    while (!text.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      for (const StreamEvent& event : splitter.Feed(text.substr(0, size))) {
        events.push_back(event);
      }
      text.erase(0, size);
    }
    RC_ASSERT(events == expected);
    RC_ASSERT(splitter.Partial().empty());
  }));
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

// Guards against a head or an error's text that is taken for an event because
// an empty line ends it.
TEST_CASE("An event holds a field of an event") {
  for (const std::string line_end : {"\n", "\r\n", "\r"}) {
    const auto content = [&](const std::string& first,
                             const std::string& second) {
      std::string text = first;
      for (const std::string& part : {line_end, second, line_end, line_end}) {
        text += part;
      }
      return ContentOf({text, {}});
    };
    CHECK(content("id: 1", "data: a") == EventContent::kEvent);
    CHECK(content("event: error", "retry: 1") == EventContent::kEvent);
    CHECK(content("x-weight-versions: 3", "id: 8") == EventContent::kEvent);
    CHECK(content(": comment", "data") == EventContent::kEvent);
    CHECK(content(": comment", "retry: 1") == EventContent::kNone);
    CHECK(ContentOf({line_end, {}}) == EventContent::kNone);
    CHECK(content("HTTP/1.1 500 Error", "X-Request-Id: 1") ==
          EventContent::kOther);
    CHECK(content("Internal error", ": comment") == EventContent::kOther);
    CHECK(content("id: 1\ndaHTTP/1.1 500 Error", "X-Request-Id: 1") ==
          EventContent::kOther);
    CHECK(content("data: HTTP/1.1 500 Error", "data: X-Request-Id: 1") ==
          EventContent::kEvent);
  }
}

}  // namespace
}  // namespace kumquatcart
