// A process must survive callers that send much and never finish. Each of their
// requests is legal, or is refused, but what they hold together exceeds the
// memory or the descriptors of the VM, and the platform then kills the process
// with every request in progress.
#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "entry/request_reader.h"
#include "fakes/loop_server.h"
#include "fakes/odd_server_entries.h"
#include "net/http_client.h"
#include "net/http_head.h"
#include "net/http_status.h"
#include "soak/entry_child.h"
#include "soak/failure_domains.h"
#include "soak/loopback.h"
#include "soak/store_stand_in.h"

namespace kumquatcart::soak {
namespace {

using boost::asio::ip::tcp;

// The VM of the process under test.
constexpr int kMemoryMb = 96;
constexpr int kDescriptors = 400;
// Of the descriptors, those that the platform reserves for files.
constexpr int kFileDescriptors = 200;

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;
// Time of a caller for its whole request: all of a crowd is there at once.
constexpr int kRequestTimeMs = 5000;
// Longer than all callers take that are kept waiting until their time is over.
constexpr Duration kCrowdTime = std::chrono::seconds(60);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

constexpr std::size_t kLargePiece = 64 * 1024;
constexpr std::size_t kSmallPiece = 4 * 1024;
constexpr std::size_t kTinyChunk = 16;
// State of a connection in the kernel's table.
constexpr char kEstablished[] = "01";
// One of so many callers completes its request.
constexpr int kCallersPerWhole = 8;

const char kFields[] = "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: c\r\n";

// What each caller of a crowd sends: the head, the pieces one by one, and in a
// whole request the end.
struct Crowd {
  const char* name;
  int callers;
  std::string head;
  std::string piece;
  std::size_t pieces;
  std::string end;
};

Crowd WithLength(const char* name, std::size_t length, std::size_t piece) {
  const std::size_t pieces = kMaxBodyBytes / piece - 1;
  return {name,
          48,
          fmt::format("{}Content-Length: {}\r\n\r\n", kFields, length),
          std::string(piece, 'x'),
          pieces,
          std::string(length - pieces * piece, 'y')};
}

Crowd InChunks(const char* name, std::size_t chunk, std::size_t body) {
  const std::string framed =
      fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
  const int chunks_per_piece = static_cast<int>(kLargePiece / chunk);
  return {name,
          48,
          fmt::format("{}Transfer-Encoding: chunked\r\n\r\n", kFields),
          RepeatText(framed, chunks_per_piece),
          body / kLargePiece - 1,
          "0\r\n\r\n"};
}

std::vector<Crowd> Crowds() {
  constexpr int kMany = kDescriptors - kFileDescriptors + 50;
  const std::string line = "X-Field: " + std::string(1000, 'x') + "\r\n";
  return {
      WithLength("large bodies, whole", kMaxBodyBytes, kLargePiece),
      WithLength("large bodies, in pieces", kMaxBodyBytes, kSmallPiece),
      InChunks("large chunks", kLargePiece, kMaxBodyBytes),
      InChunks("very small chunks", kTinyChunk, kMaxBodyBytes),
      WithLength("over the limit, announced", 4 * kMaxBodyBytes, kLargePiece),
      InChunks("over the limit, just sent", kLargePiece, 2 * kMaxBodyBytes),
      {"heads without an end", kMany, kFields, line,
       kMaxHeaderBytes / line.size() - 1, "\r\n"},
      {"connections without a request", kMany, "", "", 0, ""},
  };
}

Json ConfigUnderTest() {
  return {{"version", 1},
          {"routes",
           {{{"name", "r"},
             {"host", "h"},
             {"path_prefix", "/x/"},
             {"kind", "idempotent"},
             {"timeout_ms", 4000},
             {"service", "s"},
             {"public", true}}}},
          {"services", {{{"name", "s"}, {"max_connections", 100}}}},
          {"limits",
           {{"max_header_bytes", kMaxHeaderBytes},
            {"max_body_bytes", kMaxBodyBytes},
            {"header_timeout_ms", kRequestTimeMs},
            {"idle_timeout_ms", kRequestTimeMs}}},
          {"tenants", Json::array()}};
}

class ScratchDirectory {
 public:
  ScratchDirectory() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    this->path = pattern;
  }
  ~ScratchDirectory() {
    std::error_code ignored;  // What is left is small.
    std::filesystem::remove_all(this->path, ignored);
  }
  ScratchDirectory(const ScratchDirectory&) = delete;
  ScratchDirectory& operator=(const ScratchDirectory&) = delete;

  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

// The real program with a store and a backend server on loopback.
class ProgramUnderTest {
 public:
  ProgramUnderTest()
      : store(&this->loop),
        server(&this->loop,
               [this](const auto& connection, Waiter* waiter, Coroutine yield) {
                 this->ServeOne(connection.get(), waiter, yield);
               }) {
    const TcpEndpoint address = FreeLoopbackAddress(&this->loop, kPlatformHost);
    REQUIRE(this->store.Start(address).has_value());
    this->store.Put("keyed.op", "config", ConfigUnderTest().dump());
    this->store.Put("keyed.servers", "i1",
                    ServerEntryWith(fmt::format("127.0.0.1:{}",
                                                this->server.Address().port()),
                                    "zone", '"' + FailureDomainOf(0, 1) + '"'));
    this->child = std::make_unique<EntryChild>(
        &this->loop, &this->ledger, &this->limits, &this->backoffs,
        &this->prompts,
        ChildPlaces{KC_PROGRAM, this->directory.Path(), 1, kDescriptors,
                    kMemoryMb},
        0, address);
    REQUIRE(this->child->Prepare().has_value());
    this->child->Launch();
  }
  ~ProgramUnderTest() { this->loop.UnwindCoroutines(); }
  ProgramUnderTest(const ProgramUnderTest&) = delete;
  ProgramUnderTest& operator=(const ProgramUnderTest&) = delete;

  EventLoop* Loop() { return &this->loop; }

  int Ask(const TcpEndpoint& address, const char* target, Coroutine yield) {
    HttpClient client(&this->loop);
    return client
        .Exchange(address,
                  {"GET", target, {{"Host", "h"}, {"X-Request-Id", "o"}}, ""},
                  this->loop.Now() + kCrowdTime, Duration{0}, yield)
        .status;
  }

  void WaitUntilReady(Coroutine yield) {
    const MonotonicTime deadline = this->loop.Now() + kCrowdTime;
    while (this->Ask(this->child->Readiness(), "/api/ready", yield) !=
               kHttpOk &&
           this->loop.Now() < deadline) {
      this->loop.Sleep(kPollInterval, yield);
    }
  }

  int AskOrdinary(Coroutine yield) {
    return this->Ask(this->child->Callers(), "/x/ordinary", yield);
  }

  // Lets the crowd send until the process has read what each caller sends, or
  // has cut it off. Their connections stay open as long as this object.
  void Gather(const Crowd& crowd, Coroutine yield) {
    int sending = crowd.callers;
    for (int i = 0; i < crowd.callers; ++i) {
      this->sockets.push_back(
          std::make_unique<tcp::socket>(this->loop.Context()));
      this->loop.Spawn([this, &crowd, &sending, i,
                        socket = this->sockets.back().get()](Coroutine yield) {
        this->Send(crowd, i % kCallersPerWhole == 0, socket, yield);
        --sending;
      });
    }
    while (sending > 0 || this->UnreadBytes() > 0) {
      this->loop.Sleep(kPollInterval, yield);
      this->CountSockets();
    }
  }

  // Whether the process has not ended.
  bool Lives() {
    this->child->Reap();
    return this->child->IsRunning();
  }

  std::size_t PeakMemoryKb() const {
    std::ifstream status(this->ProcessPath() + "/status");
    std::string word;
    std::size_t peak = 0;
    while (status >> word) {
      if (word == "VmHWM:") {
        status >> peak;
      }
    }
    return peak;
  }

  // Largest number of sockets and pipes that were open at once.
  int PeakSockets() const { return this->peak_sockets; }

  void CountSockets() {
    int open = 0;
    std::error_code gone;  // A descriptor may close meanwhile.
    for (const auto& entry : std::filesystem::directory_iterator(
             this->ProcessPath() + "/fd", gone)) {
      const std::string target =
          std::filesystem::read_symlink(entry.path(), gone).string();
      open += target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0
                  ? 1
                  : 0;
    }
    this->peak_sockets = std::max(this->peak_sockets, open);
  }

 private:
  std::string ProcessPath() const {
    return fmt::format("/proc/{}", this->child->ProcessId());
  }

  // Bytes that callers have sent and the process has not read.
  std::uint64_t UnreadBytes() const {
    const TcpEndpoint& callers = this->child->Callers();
    const std::string local =
        fmt::format("{:08X}:{:04X}", htonl(callers.address().to_v4().to_uint()),
                    callers.port());
    // Columns: number, local and remote address, state, sent:received bytes.
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::uint64_t unread = 0;
    while (std::getline(table, line)) {
      std::istringstream columns(line);
      std::string number;
      std::string address;
      std::string remote;
      std::string state;
      std::string queues;
      columns >> number >> address >> remote >> state >> queues;
      if (address == local && state == kEstablished) {
        unread += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return unread;
  }

  void ServeOne(TcpConnection* connection, Waiter* waiter, Coroutine yield) {
    CallerLimits accepted;
    accepted.body_bytes = kMaxBodyBytes;
    RequestReader reader(&this->loop, connection, waiter,
                         [accepted] { return accepted; });
    const bool should_close = false;
    for (;;) {
      const RequestReadResult read = reader.Read(&should_close, yield);
      if (read.result != RequestReadStatus::kRequest) {
        return;
      }
      HeaderList answer{{"Content-Length", "0"}, {"X-Response-Seal", "sealed"}};
      for (const auto& field : read.request.headers) {
        if (EqualsIgnoringCase(field.name, "X-Request-Id")) {
          answer.push_back(field);
        }
      }
      connection->Send(SerializeResponseHead(kHttpOk, answer));
    }
  }

  void Send(const Crowd& crowd,
            bool is_whole,
            tcp::socket* socket,
            Coroutine yield) {
    boost::system::error_code error;  // The process may end any connection.
    socket->async_connect(this->child->Callers(), yield[error]);
    const auto write = [&](const std::string& bytes) {
      if (!error && !bytes.empty()) {
        boost::asio::async_write(*socket, boost::asio::buffer(bytes),
                                 yield[error]);
      }
    };
    write(crowd.head);
    for (std::size_t i = 0; i < crowd.pieces && !error; ++i) {
      write(crowd.piece);
    }
    if (is_whole) {
      write(crowd.end);
    }
  }

  ScratchDirectory directory;
  EventLoop loop;
  RunLedger ledger;
  LimitLedger limits;
  BackoffLedger backoffs;
  PromptLedger prompts;
  StoreStandIn store;
  LoopServer server;
  std::unique_ptr<EntryChild> child;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  int peak_sockets = 0;
};

void CheckCrowd(const std::string& name) {
  const std::vector<Crowd> crowds = Crowds();
  const auto crowd =
      std::find_if(crowds.begin(), crowds.end(),
                   [&](const Crowd& one) { return one.name == name; });
  REQUIRE(crowd != crowds.end());
  ProgramUnderTest program;
  RunCoroutine(program.Loop(), [&](Coroutine yield) {
    program.WaitUntilReady(yield);
    CHECK(program.AskOrdinary(yield) == kHttpOk);
    program.Gather(*crowd, yield);
    CHECK(program.AskOrdinary(yield) == kHttpOk);
    program.CountSockets();
    const std::size_t peak_kb = program.PeakMemoryKb();
    const bool lives = program.Lives();
    CAPTURE(peak_kb, program.PeakSockets());
    CHECK(lives);
    CHECK(peak_kb > 0);
    CHECK(peak_kb < kMemoryMb * 1024);
    CHECK(program.PeakSockets() <= kDescriptors - kFileDescriptors);
    WARN(name << ": peak " << peak_kb << " KB, " << program.PeakSockets()
              << " sockets");
  });
}

TEST_CASE("Large bodies sent whole fit into the memory of the VM") {
  CheckCrowd("large bodies, whole");
}

TEST_CASE("Large bodies sent in pieces fit into the memory of the VM") {
  CheckCrowd("large bodies, in pieces");
}

TEST_CASE("Bodies in large chunks fit into the memory of the VM") {
  CheckCrowd("large chunks");
}

TEST_CASE("Bodies in very small chunks fit into the memory of the VM") {
  CheckCrowd("very small chunks");
}

TEST_CASE("Announced bodies over the limit fit into the memory of the VM") {
  CheckCrowd("over the limit, announced");
}

TEST_CASE("Unannounced bodies over the limit fit into the memory of the VM") {
  CheckCrowd("over the limit, just sent");
}

TEST_CASE("Heads without an end fit into memory and descriptors of the VM") {
  CheckCrowd("heads without an end");
}

TEST_CASE("Connections without a request fit into the descriptors of the VM") {
  CheckCrowd("connections without a request");
}

}  // namespace
}  // namespace kumquatcart::soak
