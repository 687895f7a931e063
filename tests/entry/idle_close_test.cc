// Closes of kept connections, by the idle timeout and by a stop, beside
// requests that arrive at the same time.
#include <poll.h>

#include <array>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

constexpr Duration kIdleTimeout = std::chrono::milliseconds(600);
// Time for exchanges on loopback, which take a few milliseconds.
constexpr Duration kExchangeTime = std::chrono::milliseconds(100);

constexpr int kReceiveBufferBytes = 64 * 1024;
// More than the buffers of both sockets hold.
constexpr std::size_t kLargeBodyBytes = 7 * 1024 * 1024;

// A caller's connection whose bytes are in the receive buffer of the entry VM
// when Send returns, whether its event loop runs or not.
class KeptConnection {
 public:
  explicit KeptConnection(const TcpEndpoint& entry) : socket(this->context) {
    this->socket.open(boost::asio::ip::tcp::v4());
    this->socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    this->socket.connect(entry);
    this->socket.non_blocking(true);
  }

  void Send(const std::string& path) {
    const std::string request = "GET " + path +
                                " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\n"
                                "X-Deadline-Ms: 4000\r\n"
                                "Authorization: Bearer key\r\n\r\n";
    boost::asio::write(this->socket, boost::asio::buffer(request));
  }

  // Returns the bytes received since the last call, about `limit` at most.
  std::string Receive(std::size_t limit = kLargeBodyBytes) {
    std::string bytes;
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    while (!error && bytes.size() < limit) {
      bytes.append(chunk.data(),
                   this->socket.read_some(boost::asio::buffer(chunk), error));
    }
    return bytes;
  }

  // Whether the entry VM has reset the connection, as it does with a request
  // that reaches a closed socket.
  bool WasReset() {
    constexpr int kMaxWaitMs = 1000;
    pollfd state{this->socket.native_handle(), 0, 0};
    return ::poll(&state, 1, kMaxWaitMs) > 0 && (state.revents & POLLERR) != 0;
  }

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
};

bool IsSuccess(const std::string& answer) {
  return answer.rfind("HTTP/1.1 200", 0) == 0;
}

// Records each request head and answers it.
LoopServer::Script Serve(EntryFixture* fixture) {
  return AnswerWith([fixture](const std::string& head) {
    fixture->received.push_back(head);
    return MakeAnswer(head, "200 OK", "done");
  });
}

// Runs `body` on the event loop, which handles nothing else until `until`.
void HoldUpLoop(EntryFixture* fixture,
                MonotonicTime until,
                std::function<void()> body) {
  fixture->loop.Spawn([=](Coroutine) {
    body();
    while (fixture->loop.Now() < until) {
    }
  });
}

// Guards against a request that lies in the receive buffer while a connection
// is closed for idleness: the event loop is held up beyond the idle timeout,
// then a change of the fleet wakes the connection before the socket is read.
TEST_CASE("A request that arrives before an idle close is answered") {
  EntryFixture fixture;
  fixture.AddPlain("a", Serve(&fixture));
  fixture.SetIdleTimeout(kIdleTimeout);
  KeptConnection caller(fixture.EntryAddress());
  caller.Send("/again/1");
  fixture.RunFor(kExchangeTime);
  REQUIRE(IsSuccess(caller.Receive()));
  HoldUpLoop(&fixture, fixture.loop.Now() + kIdleTimeout, [&] {
    caller.Send("/again/2");
    fixture.WakeSessions();
  });
  fixture.RunFor(kIdleTimeout + kExchangeTime);
  CHECK(IsSuccess(caller.Receive()));
}

// Guards against a request that lies in the receive buffer when the process
// closes its idle connections to stop.
TEST_CASE("A request that arrives before the close of a stop is answered") {
  EntryFixture fixture;
  fixture.AddPlain("a", Serve(&fixture));
  KeptConnection caller(fixture.EntryAddress());
  caller.Send("/again/1");
  fixture.RunFor(kExchangeTime);
  REQUIRE(IsSuccess(caller.Receive()));
  HoldUpLoop(&fixture, fixture.loop.Now(), [&] {
    caller.Send("/again/2");
    fixture.context.is_stopping = true;
    fixture.context.close_idle_connections = true;
    fixture.WakeSessions();
  });
  fixture.RunFor(kExchangeTime);
  const std::string answer = caller.Receive();
  CHECK(IsSuccess(answer));
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against a request that crosses an idle close and is read to be thrown
// away: its caller cannot tell that it never ran.
TEST_CASE("A request that crosses an idle close is left unread") {
  EntryFixture fixture;
  fixture.AddPlain("a", Serve(&fixture));
  fixture.SetIdleTimeout(kIdleTimeout);
  KeptConnection caller(fixture.EntryAddress());
  fixture.RunFor(kIdleTimeout + kExchangeTime);
  caller.Send("/again/1");
  CHECK(caller.WasReset());
  CHECK(fixture.received.empty());
}

// Guards against an idle connection that keeps the timeout of an earlier
// version: its caller, who follows the newest one, sends to a closed
// connection.
TEST_CASE("A longer idle timeout holds for connections that are idle") {
  EntryFixture fixture;
  fixture.AddPlain("a", Serve(&fixture));
  fixture.SetIdleTimeout(kIdleTimeout);
  KeptConnection caller(fixture.EntryAddress());
  fixture.RunFor(kIdleTimeout / 2);
  fixture.SetIdleTimeout(10 * kIdleTimeout);
  fixture.RunFor(2 * kIdleTimeout);
  caller.Send("/again/1");
  fixture.RunFor(kExchangeTime);
  CHECK(IsSuccess(caller.Receive()));
}

// A shorter one must not close connections that callers may still use by the
// version that was in force when they became idle.
TEST_CASE("A shorter idle timeout spares connections that are idle") {
  EntryFixture fixture;
  fixture.AddPlain("a", Serve(&fixture));
  fixture.SetIdleTimeout(10 * kIdleTimeout);
  KeptConnection caller(fixture.EntryAddress());
  fixture.RunFor(kIdleTimeout / 2);
  fixture.SetIdleTimeout(kIdleTimeout);
  fixture.RunFor(2 * kIdleTimeout);
  caller.Send("/again/1");
  fixture.RunFor(kExchangeTime);
  CHECK(IsSuccess(caller.Receive()));
}

// Answers the first request with a large body.
LoopServer::Script ServeLargeBody(EntryFixture* fixture) {
  return AnswerWith([fixture](const std::string& head) {
    const bool is_first = fixture->received.empty();
    fixture->received.push_back(head);
    return MakeAnswer(head, "200 OK",
                      is_first ? std::string(kLargeBodyBytes, 'x') : "done");
  });
}

// Guards against a connection that counts as idle while its caller still reads
// the last answer.
TEST_CASE("An answer that is being sent is not cut by the idle timeout") {
  EntryFixture fixture;
  fixture.AddPlain("a", ServeLargeBody(&fixture));
  fixture.SetIdleTimeout(kIdleTimeout);
  KeptConnection caller(fixture.EntryAddress());
  caller.Send("/again/1");
  // Reads little for longer than the idle timeout and the lingering close take
  // together, then the rest.
  std::size_t received = 0;
  for (int i = 0; i < 1000 && received <= kLargeBodyBytes; ++i) {
    const bool reads_little = i < 140;
    fixture.RunFor(std::chrono::milliseconds(reads_little ? 20 : 1));
    received += caller.Receive(reads_little ? 1 : kLargeBodyBytes).size();
  }
  CHECK(received > kLargeBodyBytes);
}

// Guards against a request that is read and thrown away because its connection
// was about to be closed when the caller had read the answer before.
TEST_CASE("A request after a slowly read answer is answered or left unread") {
  for (const bool stops : {false, true}) {
    EntryFixture fixture;
    fixture.AddPlain("a", ServeLargeBody(&fixture));
    fixture.SetIdleTimeout(kIdleTimeout);
    KeptConnection caller(fixture.EntryAddress());
    caller.Send("/again/1");
    fixture.RunFor(2 * kIdleTimeout);
    if (stops) {
      fixture.context.is_stopping = true;
      fixture.context.close_idle_connections = true;
      fixture.WakeSessions();
    }
    std::size_t received = 0;
    for (int i = 0; i < 1000 && received <= kLargeBodyBytes; ++i) {
      fixture.RunFor(std::chrono::milliseconds(1));
      received += caller.Receive().size();
    }
    REQUIRE(received > kLargeBodyBytes);
    caller.Send("/again/2");
    fixture.RunFor(kExchangeTime);
    CHECK((IsSuccess(caller.Receive()) || caller.WasReset()));
  }
}

}  // namespace
}  // namespace kumquatcart
