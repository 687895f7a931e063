// The VM of a backend server.
#ifndef SOAK_SERVER_HOST_H_
#define SOAK_SERVER_HOST_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "soak/tcp_proxy.h"

namespace kumquatcart::soak {

// Whether a VM reaches the store, and what becomes of the entry that its server
// had there.
enum class StoreCut {
  kNone,
  kEntryLapses,  // After some time without a heartbeat.
  kEntryStays    // Until the cut ends.
};

// Lower-case name for logs. Thread safe.
const char* ToString(StoreCut cut);

// Has what survives the end of a server: the address, which a proxy listens on,
// the models in the VM's memory, and the way to the store. At most one server
// has the address at a time. For the event loop's thread.
class ServerHost {
 public:
  ServerHost(EventLoop* loop, std::string failure_domain)
      : loop(loop), failure_domain(std::move(failure_domain)) {}

  // Takes an address, at which nothing answers yet. Errors: kUnavailable.
  Status Start();

  // Gives the address to a server that listens on `target`. `on_reconnect` is
  // called at the end of each store cut until the server is detached.
  void Attach(const TcpEndpoint& target, std::function<void()> on_reconnect);
  // Refuses new connections to the server. Those that are open end, or stay
  // open without a sign if `silences_open`.
  void Detach(bool silences_open = false);
  bool HasServer() const { return this->reconnected != nullptr; }

  void SetStoreCut(StoreCut next);
  StoreCut GetStoreCut() const { return this->store_cut; }

  TcpProxy& Link() { return *this->proxy; }
  const TcpEndpoint& Address() const { return this->address; }
  const std::string& FailureDomain() const { return this->failure_domain; }

  void Stage(const std::string& model) { this->staged_models.insert(model); }
  const std::set<std::string>& StagedModels() const {
    return this->staged_models;
  }
  // Empties the memory, as if another VM had the address.
  void Replace() { this->staged_models.clear(); }

 private:
  EventLoop* const loop;
  const std::string failure_domain;
  TcpEndpoint address;
  std::unique_ptr<TcpProxy> proxy;
  std::function<void()> reconnected;  // Null: no server has the address.
  StoreCut store_cut = StoreCut::kNone;
  std::set<std::string> staged_models;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_SERVER_HOST_H_
