// Reads of the store that are lost in a silence of it.
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/loop_store.h"
#include "platform/store_client.h"

namespace kumquatcart {
namespace {

// A store whose reads wait, and a client that has a read of `wait` pending.
struct PendingRead {
  explicit PendingRead(Duration wait)
      : store(&this->loop), client(&this->loop, this->store.Address()) {
    this->store.reads_wait = true;
    this->loop.Spawn([this, wait](Coroutine yield) {
      this->result =
          this->client.ReadSince(StoreTopic::kOperator, 0, wait, yield);
    });
  }
  ~PendingRead() { this->loop.UnwindCoroutines(); }

  void Pause(int milliseconds, Coroutine yield) {
    this->loop.Sleep(std::chrono::milliseconds(milliseconds), yield);
  }
  bool ReadsOther(Coroutine yield) {
    return this->client.ReadNewest(StoreTopic::kServers, yield).has_value();
  }

  EventLoop loop;
  LoopStore store;
  StoreClient client;
  std::optional<Result<TopicBatch>> result;  // Once it has ended.
};

// Guards against an answering store that counts as unreachable since a read
// that was sent before is given up: duties pass to other VMs, and calls go
// through them.
TEST_CASE("The end of a lost read says nothing against later answers") {
  PendingRead read(std::chrono::milliseconds(300));
  RunCoroutine(&read.loop, [&](Coroutine yield) {
    read.Pause(100, yield);
    read.store.BeginSilence();
    read.store.EndSilence();
    CHECK(read.ReadsOther(yield));
    read.Pause(1500, yield);
    CHECK(read.result.has_value());
    CHECK(read.client.IsReachable());
  });
}

// Guards against a read that hangs although the store is known to be back.
TEST_CASE("A read sent before a silence ends when the store answers again") {
  PendingRead read(std::chrono::milliseconds(3500));
  RunCoroutine(&read.loop, [&](Coroutine yield) {
    read.Pause(100, yield);
    read.store.BeginSilence();
    CHECK_FALSE(read.ReadsOther(yield));
    CHECK_FALSE(read.result.has_value());
    read.store.EndSilence();
    CHECK(read.ReadsOther(yield));
    read.Pause(50, yield);
    CHECK(read.result.has_value());
  });
}

// Guards against a read that hangs at the store, and again as long at a relay.
TEST_CASE("A read that hangs at the store does not hang as long at a relay") {
  constexpr Duration kWait = std::chrono::milliseconds(1000);
  PendingRead read(kWait);
  LoopServer relay(&read.loop,
                   [](const auto& connection, Waiter* waiter, Coroutine yield) {
                     ReadHead(connection.get(), waiter, yield);
                     ReadHead(connection.get(), waiter, yield);
                   });
  read.client.SetRelays(
      [&] { return std::vector<TcpEndpoint>{relay.Address()}; });
  RunCoroutine(&read.loop, [&](Coroutine yield) {
    read.Pause(100, yield);
    read.store.BeginSilence();
    read.Pause(2200, yield);
    CHECK(read.result.has_value());
  });
}

}  // namespace
}  // namespace kumquatcart
