// A gateway before raw upstream servers, on a clock that stands still.
#ifndef GATEWAY_GATEWAY_FIXTURE_H_
#define GATEWAY_GATEWAY_FIXTURE_H_

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "fakes/admit_all.h"
#include "fakes/fake_idempotency_store.h"
#include "fakes/raw_server.h"
#include "gateway/gateway.h"

namespace kumquatcart {

// Sample configuration: partner `armor` with organisation `concours` (token
// `armor-token`), model service `llm` and plain service `registre` whose POST
// routes are not idempotent; partner `cedar` with `clinic` (token
// `cedar-token`), which sees neither.
class GatewayFixture {
 public:
  explicit GatewayFixture(GatewaySettings settings = {});

  // Adds a whole replica group of `llm`, or a VM of `registre`.
  void AddGroup(const std::string& id, const Endpoint& leader);
  void AddServiceVm(const std::string& id, const Endpoint& endpoint);

  // Sends `request` on a new connection and returns the connection.
  std::unique_ptr<RawConnection> Send(const std::string& request);

  // Sends `request` and returns the whole answer.
  std::string Call(const std::string& request);

  std::uint64_t CounterValue(const std::string& name,
                             const MetricLabels& labels = {});

  ManualClock clock;
  WorkerPool workers{2};
  Board board{NodeIdentity{}};
  Router router{&this->clock, &this->board, RouterSettings{}, 1};
  AdmitAll admission;
  RetryBudget retry_budget{0.1, 10};
  MetricRegistry metrics;
  FakeIdempotencyStore idempotency;
  std::uint16_t port = 0;
  std::unique_ptr<Gateway> gateway;
};

// Text of a request with a body, in HTTP/1.1.
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        const std::string& extra_headers = {});

// A completion request of `llm` with the prompt "hello".
std::string MakeCompletion(bool stream, const std::string& extra_headers = {});

// Value of `name` in the text of a message, or an empty string.
std::string HeaderValue(const std::string& message, const std::string& name);

// What a test engine writes.
std::string EngineHead(const std::string& status = "200 OK");
std::string EngineChunk(const std::string& line);
std::string EngineToken(const std::string& request,
                        int index,
                        const std::string& token);
std::string EngineDone(const std::string& request, int total);

// Writes `token` to `request`'s stream, from `index` on, until the other side
// closes.
void StreamWithoutEnd(RawConnection* connection,
                      const std::string& request,
                      int index,
                      const std::string& token);

// Advances `clock` until `pending` is ready.
template <class Value>
void AdvanceUntilReady(ManualClock* clock, const std::future<Value>& pending) {
  while (pending.wait_for(std::chrono::milliseconds(1)) !=
         std::future_status::ready) {
    clock->Advance(std::chrono::milliseconds(100));
  }
}

// The body of a request to an engine.
GenerateRequest ParseGenerate(const std::string& message);

// An answer of a plain service to `request` with its ids echoed.
std::string ServiceAnswer(const std::string& request, const std::string& body);

}  // namespace kumquatcart

#endif  // GATEWAY_GATEWAY_FIXTURE_H_
