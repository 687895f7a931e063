// Streams whose first server breaks off and whose second one answers in any
// way, as callers of both protocol versions get them.
#include <optional>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

// Where the first server breaks off.
enum class Break {
  kWithinHead,
  kBeforeEvents,
  kAfterEvent,
  kWithinEvent,
  kWithinChunk
};

constexpr Break kBreaks[] = {Break::kWithinHead, Break::kBeforeEvents,
                             Break::kAfterEvent, Break::kWithinEvent,
                             Break::kWithinChunk};
constexpr char kHttp11[] = "HTTP/1.1";
constexpr char kHttp10[] = "HTTP/1.0";
constexpr char kStreamFields[] =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
// Ends with an empty line, as an event does.
constexpr char kErrorText[] = "the second server failed\n\n";
constexpr int kEvents = 4;
constexpr int kBadGateway = 502;
constexpr int kOk = 200;

std::string EventTexts(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    const std::string number = std::to_string(id);
    text.append("id: ").append(number);
    text.append("\ndata: event ").append(number).append("\n\n");
  }
  return text;
}

std::string Head(const std::string& status,
                 const std::string& seal,
                 const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: id1\r\n" +
         (seal.empty() ? "" : "X-Response-Seal: " + seal + "\r\n") + fields +
         "\r\n";
}

// An answer with a length and the signature of the second server.
std::string Whole(const std::string& status, const std::string& fields = "") {
  const std::string body = kErrorText;
  return Head(status, "second",
              fields + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n") +
         body;
}

std::string Stream(const std::string& seal, const std::string& events) {
  return Head("200 OK", seal, kStreamFields) +
         (events.empty() ? "" : SerializeChunk(events)) + SerializeChunk({});
}

// Returns the bytes of a first answer that breaks off at `place`.
std::string BrokenStream(Break place) {
  std::string bytes = Head("200 OK", "first", kStreamFields);
  switch (place) {
    case Break::kWithinHead:
      return bytes.substr(0, bytes.size() / 2);
    case Break::kBeforeEvents:
      break;
    case Break::kAfterEvent:
      bytes += SerializeChunk(EventTexts(1, 2));
      break;
    case Break::kWithinEvent:
      bytes += SerializeChunk(EventTexts(1, 2) + "id: 3\nda");
      break;
    case Break::kWithinChunk:
      bytes += SerializeChunk(EventTexts(1, 2));
      bytes += "40\r\nid: 3\nda";
      break;
  }
  return bytes;
}

int LastEventBefore(Break place) {
  return place == Break::kWithinHead || place == Break::kBeforeEvents ? 0 : 2;
}

// What a caller's stream gets from an answer.
struct StreamPart {
  std::string events{};
  bool is_complete = false;
};

// The answer of the second server and what callers get of it.
struct Row {
  std::string name;
  std::string bytes;
  int status = kBadGateway;  // For a caller that has received nothing.
  // For a caller without an event; none if the answer is no stream.
  std::optional<StreamPart> after_none{};
  // For a caller that has the first two events.
  StreamPart after_events{};
};

std::vector<Row> ErrorRows() {
  const std::string marked = "X-Not-Executed: 1\r\n";
  std::string other_request = Whole("500 Internal Server Error");
  other_request.replace(other_request.find("id1"), 3, "id2");
  return {{"500", Whole("500 Internal Server Error"), 500},
          {"500 that is an event stream",
           Whole("500 Internal Server Error",
                 "Content-Type: text/event-stream\r\n"),
           500},
          {"503 that has run", Whole("503 Service Unavailable")},
          {"503", Whole("503 Service Unavailable", marked)},
          {"429 that has run", Whole("429 Too Many Requests")},
          {"429", Whole("429 Too Many Requests", marked)},
          {"421", Whole("421 Misdirected Request")},
          {"404", Whole("404 Not Found"), 404},
          {"400", Whole("400 Bad Request"), 400},
          {"interim and 500",
           "HTTP/1.1 100 Continue\r\n\r\n" + Whole("500 Internal Server Error"),
           500},
          {"500 to another request", other_request},
          {"head without a status", "HTTP/1.1 failed\r\n\r\n"},
          {"no head", kErrorText},
          {"unsigned stream", Stream("", EventTexts(3, kEvents))},
          {"content coding", Whole("200 OK", "Content-Encoding: gzip\r\n")},
          {"other type", Whole("200 OK", "Content-Type: application/json\r\n"),
           kOk},
          {"204", Head("204 No Content", "second", ""), 204}};
}

std::vector<Row> StreamRows() {
  const std::string error_event = "event: error\ndata: failed\n\n";
  const std::string unnumbered = "data: event 3\n\n";
  const auto row = [](const std::string& name, const std::string& events,
                      const StreamPart& after_events) {
    return Row{name, Stream("second", events), kOk, StreamPart{events, true},
               after_events};
  };
  return {
      row("rest", EventTexts(3, kEvents), {EventTexts(3, kEvents), true}),
      row("repeats", EventTexts(1, kEvents), {EventTexts(3, kEvents), true}),
      row("what the caller has", EventTexts(1, 2), {"", true}),
      row("less than the caller has", EventTexts(1, 1), {}),
      row("gap", EventTexts(4, kEvents), {}),
      row("error event", error_event, {}),
      row("error event after events", EventTexts(3, 3) + error_event,
          {EventTexts(3, 3) + error_event, true}),
      row("events without id", unnumbered, {}),
      row("repeat and an event without id", EventTexts(2, 2) + unnumbered, {}),
      row("comment", ": keep alive\n\n" + EventTexts(3, kEvents),
          {": keep alive\n\n" + EventTexts(3, kEvents), true}),
      row("empty", "", {"", true}),
      {"empty, ended by its connection",
       Head("200 OK", "second", "Content-Type: text/event-stream\r\n"), kOk,
       StreamPart{}},
      {"less than the caller has, ended by its connection",
       Head("200 OK", "second", "") + EventTexts(1, 1), kOk,
       StreamPart{EventTexts(1, 1), true}},
      {"what the caller has, ended by its connection",
       Head("200 OK", "second", "") + EventTexts(1, 2), kOk,
       StreamPart{EventTexts(1, 2), true}},
      // Without a type it is taken for a stream.
      {"text without a type", Whole("200 OK"), kOk, StreamPart{}}};
}

// Two servers; the first attempt gets `first`, all others get `second`.
class TwoServers {
 public:
  TwoServers(std::string first, std::string second)
      : first(std::move(first)), second(std::move(second)) {
    const auto script = [this](const auto& connection, Waiter* waiter,
                               Coroutine yield) {
      this->fixture.received.push_back(
          ReadHead(connection.get(), waiter, yield));
      connection->Send(this->Attempts() == 1 ? this->first : this->second);
      while (connection->UnsentBytes() > 0 && !connection->HasEnded()) {
        waiter->WaitUntil(MonotonicTime::max(), yield);
      }
      connection->Close();
    };
    for (const char* id : {"a", "b"}) {
      this->fixture.AddGroup(id, script);
      this->fixture.AddPlain(std::string("plain-") + id, script);
    }
  }

  CallerAnswer Call(const std::string& method,
                    const std::string& path,
                    const std::string& version) {
    std::string request = MakeRequest(
        method, path, method == "POST" ? "Content-Length: 0\r\n" : "");
    request.replace(request.find(kHttp11), version.size(), version);
    return this->fixture.Call(request);
  }

  int Attempts() const {
    return static_cast<int>(this->fixture.received.size());
  }

 private:
  EntryFixture fixture;
  const std::string first;
  const std::string second;
};

bool HasBody(int status) {
  return status != 204 && status != kBadGateway;
}

// Guards, in every row, against bytes of the second server's answer within the
// caller's stream, and against an end that looks complete.
void CheckRow(const Row& row, Break place, const std::string& version) {
  CAPTURE(row.name, static_cast<int>(place), version);
  TwoServers servers(BrokenStream(place), row.bytes);
  const CallerAnswer answer = servers.Call("POST", "/stream/x", version);
  CHECK(servers.Attempts() == 2);
  CHECK(answer.extra.empty());
  if (place == Break::kWithinHead && !row.after_none) {
    CHECK(answer.status == row.status);
    CHECK(answer.state == ResponseState::kComplete);
    CHECK(answer.body == (HasBody(row.status) ? kErrorText : ""));
    CHECK(FindHeader(answer.headers, "X-Response-Seal") ==
          (row.status == kBadGateway ? "" : "second"));
    return;
  }
  const int last = LastEventBefore(place);
  const StreamPart part =
      last == 0 ? row.after_none.value_or(StreamPart{}) : row.after_events;
  CHECK(answer.status == kOk);
  CHECK(FindHeader(answer.headers, "X-Response-Seal") ==
        (place == Break::kWithinHead ? "second" : "first"));
  CHECK(answer.body == EventTexts(1, last) + part.events);
  CHECK((answer.state == ResponseState::kComplete) == part.is_complete);
}

void CheckAllBreaks(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    for (const Break place : kBreaks) {
      CheckRow(row, place, kHttp11);
      CheckRow(row, place, kHttp10);
    }
  }
}

// Guards against the text or the head of an error in the middle of a stream
// whose first server broke off, and against a status of one server with the
// body or the signature of the other.
TEST_CASE("An error after a broken stream stays out of the stream") {
  CheckAllBreaks(ErrorRows());
}

// Guards against a stream with a gap, a repeat or the events of an error, which
// a second server causes that does not go on where the first one broke off.
TEST_CASE("A second stream goes on after the last event or not at all") {
  CheckAllBreaks(StreamRows());
}

// Guards against the body of an error that a HEAD request gets, which its
// caller takes for the next answer, and against a length that is not its own.
TEST_CASE("A HEAD request gets the second server's head only") {
  for (const Row& row : ErrorRows()) {
    CAPTURE(row.name);
    // The length of the body that these heads announce does not follow.
    TwoServers servers(BrokenStream(Break::kWithinHead), row.bytes);
    const CallerAnswer answer = servers.Call("HEAD", "/stream/x", kHttp11);
    CHECK(answer.state == ResponseState::kComplete);
    CHECK(answer.status == row.status);
    CHECK(answer.body.empty());
    CHECK(answer.extra.empty());
    CHECK(FindHeader(answer.headers, "Content-Length").empty());
  }
}

// Guards against the head of an error that a failing server writes into the
// body of its stream, and that reaches the caller as an event or a part of one.
TEST_CASE("A head within the body of a stream is no event of it") {
  const std::string error = Whole("500 Internal Server Error");
  const std::string chunked = Head("200 OK", "first", kStreamFields);
  const std::string lengthless =
      Head("200 OK", "first", "Content-Type: text/event-stream\r\n");
  for (const std::string part :
       {"", "id: 3\n", "id: 3\nda", "id: 3\ndata: e"}) {
    const std::string begun = EventTexts(1, 2) + part;
    const std::string one_chunk = SerializeChunk(begun + error);
    std::string framed = chunked + one_chunk;
    framed += SerializeChunk({});
    std::string two_chunks = chunked + SerializeChunk(begun);
    two_chunks += SerializeChunk(error);
    std::string after_chunk = chunked + SerializeChunk(begun);
    after_chunk += error;
    std::string connection = lengthless + begun;
    connection += error;
    for (const std::string& first :
         {framed, two_chunks, after_chunk, connection}) {
      for (const std::string version : {kHttp11, kHttp10}) {
        CAPTURE(first, version);
        TwoServers servers(first, Stream("second", EventTexts(3, kEvents)));
        const CallerAnswer answer = servers.Call("POST", "/stream/x", version);
        CHECK(answer.state == ResponseState::kComplete);
        CHECK(answer.body == EventTexts(1, kEvents));
        CHECK(servers.Attempts() == 2);
      }
    }
  }
}

// Guards against a stream that is resumed from its beginning because its
// events, or the last of them, name no place to resume from.
TEST_CASE("A stream is not resumed after an event without an id") {
  const std::string unnumbered = "data: event\n\n";
  for (const std::string& begin : {unnumbered, EventTexts(1, 1) + unnumbered}) {
    CAPTURE(begin);
    TwoServers servers(
        Head("200 OK", "first", kStreamFields) + SerializeChunk(begin),
        Stream("second", begin + unnumbered));
    const CallerAnswer answer = servers.Call("POST", "/stream/x", kHttp11);
    CHECK(answer.state == ResponseState::kParseFailed);
    CHECK(answer.body == begin);
    CHECK(servers.Attempts() == 1);
  }
}

// Guards against a gap that is suspected where ids do not count the events.
TEST_CASE("A stream whose ids leave out numbers is resumed") {
  const std::string begin = "id: 6\ndata: a\n\nid: 12\ndata: b\n\n";
  const std::string rest = "id: 18\ndata: c\n\n";
  TwoServers servers(
      Head("200 OK", "first", kStreamFields) + SerializeChunk(begin),
      Stream("second", rest));
  const CallerAnswer answer = servers.Call("POST", "/stream/x", kHttp11);
  CHECK(answer.state == ResponseState::kComplete);
  CHECK(answer.body == begin + rest);
}

// Guards against the failure of one attempt with a part of another's answer.
TEST_CASE("The failure of the first server is kept as it was") {
  const std::string first =
      Head("500 Internal Server Error", "first", "Content-Length: 5\r\n") +
      "first";
  for (const Row& row : ErrorRows()) {
    if (row.status != kBadGateway) {
      continue;
    }
    for (const std::string path : {"/stream/x", "/again/x"}) {
      CAPTURE(row.name, path);
      TwoServers servers(first, row.bytes);
      const CallerAnswer answer = servers.Call("POST", path, kHttp11);
      CHECK(servers.Attempts() == 2);
      CHECK(answer.status == 500);
      CHECK(FindHeader(answer.headers, "X-Response-Seal") == "first");
      CHECK(answer.framing == ResponseFraming::kLength);
      CHECK(answer.state == ResponseState::kComplete);
      CHECK(answer.body == "first");
    }
  }
  TwoServers servers(first, BrokenStream(Break::kWithinEvent));
  const CallerAnswer answer = servers.Call("POST", "/stream/x", kHttp11);
  CHECK(answer.status == kOk);
  CHECK(answer.state == ResponseState::kParseFailed);
  CHECK(answer.body == EventTexts(1, 2));
}

}  // namespace
}  // namespace kumquatcart
