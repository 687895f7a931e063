// Throughput, added latency and token relay of the request path, beside a bare
// listener and a bare client-to-listener hop of the HTTP library in the same
// run. Everything is on loopback and ends by itself.
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <fmt/format.h>
#include <boost/asio.hpp>

#include "base/json.h"
#include "base/logging.h"
#include "gateway/gateway.h"

namespace kumquatcart {
namespace {

using boost::asio::ip::tcp;
using web::http::experimental::listener::http_listener;

constexpr int kConnections = 64;
constexpr std::chrono::seconds kRunTime{2};
constexpr int kStreams = 64;
constexpr int kTokensPerStream = 4000;
constexpr double kHalf = 0.5;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::uint16_t FreePort() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

// Results of one load run.
struct LoadResult {
  double requests_per_second = 0;
  double cpu_us_per_request = 0;  // Of the whole process, load side included.
  std::vector<double> latencies_us;

  double Quantile(double quantile) const {
    const auto rank = static_cast<std::size_t>(
        quantile * static_cast<double>(this->latencies_us.size() - 1));
    return this->latencies_us[rank];
  }
};

// Sends `request` over keep-alive connections; closed loop when `rate` is 0,
// else paced at `rate` a second over all.
LoadResult RunLoad(std::uint16_t port,
                   const std::string& request,
                   double rate) {
  std::vector<std::thread> threads;
  std::vector<std::vector<double>> latencies(kConnections);
  const auto begin = std::chrono::steady_clock::now();
  const double cpu_before = CpuSeconds();
  for (int index = 0; index < kConnections; ++index) {
    threads.emplace_back([&, index] {
      boost::asio::io_context io;
      tcp::socket socket(io);
      socket.connect(
          tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
      socket.set_option(tcp::no_delay(true));
      std::string answer;
      auto due = begin + std::chrono::microseconds(index * 50);
      while (std::chrono::steady_clock::now() - begin < kRunTime) {
        if (rate > 0) {
          std::this_thread::sleep_until(due);
          due += std::chrono::nanoseconds(
              static_cast<std::int64_t>(1e9 * kConnections / rate));
        }
        const auto sent = std::chrono::steady_clock::now();
        boost::asio::write(socket, boost::asio::buffer(request));
        const std::size_t head = boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n");
        const std::size_t at = answer.find("Content-Length: ");
        const std::size_t length = std::stoul(answer.substr(at + 16, 12));
        if (answer.size() < head + length) {
          boost::asio::read(
              socket, boost::asio::dynamic_buffer(answer),
              boost::asio::transfer_exactly(head + length - answer.size()));
        }
        answer.erase(0, head + length);
        latencies[static_cast<std::size_t>(index)].push_back(
            std::chrono::duration<double, std::micro>(
                std::chrono::steady_clock::now() - sent)
                .count());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  LoadResult result;
  for (const auto& part : latencies) {
    result.latencies_us.insert(result.latencies_us.end(), part.begin(),
                               part.end());
  }
  std::sort(result.latencies_us.begin(), result.latencies_us.end());
  const auto count = static_cast<double>(result.latencies_us.size());
  result.requests_per_second = count / elapsed;
  result.cpu_us_per_request = (CpuSeconds() - cpu_before) * 1e6 / count;
  return result;
}

// Answers every request at once, echoing its ids.
std::unique_ptr<http_listener> StartBareListener(std::uint16_t port) {
  auto listener = std::make_unique<http_listener>(
      fmt::format("http://127.0.0.1:{}/", port));
  listener->support([](const web::http::http_request& request) {
    web::http::http_response response(web::http::status_codes::OK);
    for (const char* name : {kRequestIdHeader, kAttemptIdHeader}) {
      if (request.headers().has(name)) {
        response.headers().add(name, request.headers().find(name)->second);
      }
    }
    response.set_body("ok");
    request.reply(response);
  });
  listener->open().get();
  return listener;
}

// The floor of any proxy on this library: a listener that asks one client.
std::unique_ptr<http_listener> StartBareHop(std::uint16_t port,
                                            std::uint16_t upstream) {
  auto client = std::make_shared<web::http::client::http_client>(
      fmt::format("http://127.0.0.1:{}/", upstream));
  auto listener = std::make_unique<http_listener>(
      fmt::format("http://127.0.0.1:{}/", port));
  listener->support([client](const web::http::http_request& request) {
    client->request(web::http::methods::GET, "/services/registre/x")
        .then([request](const web::http::http_response& answer) {
          return answer.extract_string(true).then(
              [request](const std::string& body) {
                request.reply(web::http::status_codes::OK, body);
              });
        });
  });
  listener->open().get();
  return listener;
}

// A minimal engine: one thread a connection, writes every token in a chunk of
// its own.
class BenchEngine {
 public:
  BenchEngine()
      : acceptor(this->io,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        thread([this] { this->Accept(); }) {}

  ~BenchEngine() {
    this->stopping = true;
    boost::asio::io_context waker;
    tcp::socket socket(waker);
    socket.connect(this->acceptor.local_endpoint());
    this->thread.join();
    for (std::thread& served : this->connections) {
      served.join();
    }
  }

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  void Accept() {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(this->io);
      this->acceptor.accept(*socket);
      if (this->stopping) {
        return;
      }
      this->connections.emplace_back([socket] { Serve(socket.get()); });
    }
  }

  static void Serve(tcp::socket* socket) {
    boost::system::error_code error;
    std::string request;
    boost::asio::read_until(*socket, boost::asio::dynamic_buffer(request),
                            "resume_from\":", error);
    const std::size_t at = request.find("X-Attempt-Id:");
    if (error || at == std::string::npos) {
      return;
    }
    socket->set_option(tcp::no_delay(true));
    const std::size_t from = request.find_first_not_of(": ", at + 12);
    const std::string attempt =
        request.substr(from, request.find("\r\n", from) - from);
    boost::asio::write(
        *socket,
        boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                        "chunked\r\n\r\n")),
        error);
    GenerateChunk chunk;
    chunk.attempt = AttemptId(attempt);
    for (int index = 0; index <= kTokensPerStream && !error; ++index) {
      chunk.index = index;
      chunk.done = index == kTokensPerStream;
      chunk.token = chunk.done ? "" : " token";
      const std::string line = Json(chunk).dump() + "\n";
      boost::asio::write(
          *socket,
          boost::asio::buffer(fmt::format("{:x}\r\n{}\r\n", line.size(), line)),
          error);
    }
    boost::asio::write(*socket, boost::asio::buffer(std::string("0\r\n\r\n")),
                       error);
    // Until the other side closes.
    boost::asio::read(*socket, boost::asio::dynamic_buffer(request), error);
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> connections;
  std::thread thread;
};

class AdmitEverything : public Admission {
 public:
  void Submit(const AdmissionRequest&, DecisionCallback decide) override {
    decide(Ok());
  }
  void Complete(const AdmissionRequest&, double) override {}
  void CancelWaiting(const RequestId&) override {}
};

class NoKeys : public IdempotencyStore {
 public:
  void Claim(const ClaimKey&,
             const std::string&,
             Duration,
             Decision decide) override {
    decide(MakeError(ErrorCode::kUnavailable, "no keys in this program"));
  }
  void Settle(const ClaimKey&, const ClaimSettlement&) override {}
};

ConfigView BenchConfig() {
  ConfigView config;
  config.offset = 1;
  const ObjectMeta meta{ObjectName("o"), PartnerId("p"), 1};
  config.organisations[ObjectName("o")] = {meta, Organisation{}};
  config.tokens[ObjectName("t")] = {meta,
                                    Token{ObjectName("o"), Sha256Hex("t")}};
  config.model_services[ObjectName("llm")] = {
      {ObjectName("llm"), PartnerId("p"), 1}, ModelService{}};
  config.plain_services[ObjectName("registre")] = {
      {ObjectName("registre"), PartnerId("p"), 1}, PlainService{}};
  return config;
}

struct TokenResult {
  double tokens_per_second = 0;
  double cpu_us_per_token = 0;
};

TokenResult RunStreams(std::uint16_t port) {
  const std::string body =
      fmt::format(R"({{"model":"llm","prompt":"p","max_tokens":{},"stream":)"
                  "true}}",
                  kTokensPerStream);
  const std::string request = fmt::format(
      "POST /v1/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer "
      "t\r\nContent-Length: {}\r\n\r\n{}",
      body.size(), body);
  std::vector<std::thread> threads;
  std::atomic<int> whole{0};
  const double cpu_before = CpuSeconds();
  const auto begin = std::chrono::steady_clock::now();
  for (int index = 0; index < kStreams; ++index) {
    threads.emplace_back([&] {
      boost::asio::io_context io;
      tcp::socket socket(io);
      socket.connect(
          tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
      boost::asio::write(socket, boost::asio::buffer(request));
      std::string stream;
      std::vector<char> piece(64 * 1024);
      while (stream.find("[DONE]") == std::string::npos) {
        boost::system::error_code error;
        const std::size_t count =
            socket.read_some(boost::asio::buffer(piece), error);
        if (error) {
          return;
        }
        // Only the end is looked at.
        stream.erase(0, stream.size() > 16 ? stream.size() - 16 : 0);
        stream.append(piece.data(), count);
      }
      ++whole;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  const double tokens = static_cast<double>(whole) * kTokensPerStream;
  return {tokens / elapsed, (CpuSeconds() - cpu_before) * 1e6 / tokens};
}

void PrintLoad(const std::string& name, const LoadResult& result) {
  fmt::print("{},requests_per_second,{:.0f}\n", name,
             result.requests_per_second);
  fmt::print("{},cpu_us_per_request_with_load,{:.1f}\n", name,
             result.cpu_us_per_request);
  for (const double quantile : {0.5, 0.99, 0.999}) {
    fmt::print("{},p{}_us,{:.0f}\n", name, quantile * 100,
               result.Quantile(quantile));
  }
}

int Run() {
  ConfigureLogging(LogLevel::kError, LogFormat::kKeyValue);
  RuntimeClock clock;
  WorkerPool workers(2);
  Board board{NodeIdentity{}};
  Router router(&clock, &board, RouterSettings{}, 1);
  AdmitEverything admission;
  RetryBudget retry_budget(0.1, 10);
  MetricRegistry metrics;
  NoKeys keys;
  board.config.Publish(BenchConfig());
  const std::uint16_t upstream_port = FreePort();
  const auto upstream = StartBareListener(upstream_port);
  const std::uint16_t hop_port = FreePort();
  const auto hop = StartBareHop(hop_port, upstream_port);
  BenchEngine engine;
  board.vms.Update([&](VmTable table) {
    Vm vm;
    vm.id = VmId("v");
    vm.role = VmRole::kPlainService;
    vm.service = ServiceName("registre");
    vm.endpoint = {"127.0.0.1", upstream_port};
    table.vms[vm.id] = vm;
    return table;
  });
  board.groups.Update([&](GroupTable table) {
    ReplicaGroup group;
    group.claim.group = GroupId("g");
    group.claim.service = ServiceName("llm");
    group.state = GroupState::kWhole;
    group.leader = engine.Address();
    group.load.capacity = 2 * kStreams;
    table.groups[group.claim.group] = group;
    return table;
  });
  GatewaySettings settings;
  settings.http_port = FreePort();
  GatewayParts parts;
  parts.clock = &clock;
  parts.workers = &workers;
  parts.board = &board;
  parts.router = &router;
  parts.admission = &admission;
  parts.retry_budget = &retry_budget;
  parts.metrics = &metrics;
  parts.idempotency = &keys;
  Gateway gateway(parts, settings);
  if (!gateway.Start().has_value()) {
    return 1;
  }
  const auto port = static_cast<std::uint16_t>(settings.http_port);
  const std::string request =
      "GET /services/registre/x HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer "
      "t\r\n\r\n";
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  fmt::print("case,figure,value\n");
  const LoadResult bare = RunLoad(upstream_port, request, 0);
  const LoadResult hopped = RunLoad(hop_port, request, 0);
  const LoadResult proxied = RunLoad(port, request, 0);
  PrintLoad("bare_listener", bare);
  PrintLoad("bare_hop", hopped);
  PrintLoad("gateway", proxied);
  fmt::print("gateway,ratio_to_bare_listener,{:.3f}\n",
             proxied.requests_per_second / bare.requests_per_second);
  fmt::print("gateway,ratio_to_bare_hop,{:.3f}\n",
             proxied.requests_per_second / hopped.requests_per_second);
  const double rate = proxied.requests_per_second * kHalf;
  const LoadResult bare_half = RunLoad(upstream_port, request, rate);
  const LoadResult hop_half = RunLoad(hop_port, request, rate);
  const LoadResult half = RunLoad(port, request, rate);
  PrintLoad("bare_listener_half_load", bare_half);
  PrintLoad("bare_hop_half_load", hop_half);
  PrintLoad("gateway_half_load", half);
  for (const double quantile : {0.5, 0.99, 0.999}) {
    fmt::print("gateway_half_load,added_p{}_us,{:.0f}\n", quantile * 100,
               half.Quantile(quantile) - bare_half.Quantile(quantile));
  }
  const TokenResult tokens = RunStreams(port);
  fmt::print("token_relay,tokens_per_second,{:.0f}\n",
             tokens.tokens_per_second);
  fmt::print("token_relay,cpu_us_per_token_with_load,{:.1f}\n",
             tokens.cpu_us_per_token);
  gateway.Stop();
  hop->close().get();
  upstream->close().get();
  return 0;
}

}  // namespace
}  // namespace kumquatcart

int main() {
  return kumquatcart::Run();
}
