// What engine VMs and plain service VMs have in common: a port, life and death.
#ifndef STANDINS_VM_HOST_H_
#define STANDINS_VM_HOST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "standins/http_server.h"
#include "standins/scheduler.h"
#include "standins/standins_settings.h"
#include "standins/topology.h"

namespace kumquatcart::standins {

// Faults of one VM that are on.
struct VmFaults {
  Duration slowness{};               // Added to every answer and token.
  int silent_before_first_byte = 0;  // Answers still to swallow whole.
  int silent_mid_stream = 0;         // Streams still to stall.
  int foreign_lines = 0;    // Streams still to get a line of another attempt.
  int duplicate_lines = 0;  // Streams still to get a line twice.
  Duration cache_event_delay{};
};

// Everything runs on the io_context's thread.
class VmHost {
 public:
  // Precondition: `context` and `scheduler` outlive the host.
  VmHost(boost::asio::io_context* context,
         Scheduler* scheduler,
         TopologyVm topology);
  virtual ~VmHost() = default;
  VmHost(const VmHost&) = delete;
  VmHost& operator=(const VmHost&) = delete;

  // Opens the port. Error: kUnavailable.
  Status Start();

  // Closes the port, cuts connections and loses all state.
  void Die();
  // Comes back with a fresh state. Does nothing while alive.
  Status Restart();
  // Accepts connections and reads requests, but does nothing until resumed.
  void Pause();
  void Resume();
  void SetLeaving(bool leaving);

  bool IsAlive() const { return this->alive; }
  bool IsPaused() const { return this->paused; }
  // The port listened on, also when the topology leaves the choice open with
  // port 0. Precondition: alive.
  std::uint16_t Port() const { return this->server.Port(); }
  const Vm& Row() const { return this->topology.vm; }
  bool EnforcesFence() const { return this->topology.enforces_fence; }

  VmFaults faults;

 protected:
  // Serves one request that waited for `waited` since it was read.
  virtual void Handle(const HttpRequest& request,
                      ConnectionPtr connection,
                      Duration waited) = 0;
  // State is lost: the VM died or came back.
  virtual void Reset() = 0;

  Scheduler* scheduler;

 private:
  struct Deferred {
    HttpRequest request;
    ConnectionPtr connection;
    MonotonicTime read_at;
  };

  void Receive(const HttpRequest& request, ConnectionPtr connection);
  void Run(const Deferred& deferred);

  TopologyVm topology;
  HttpServer server;
  bool alive = false;
  bool paused = false;
  std::vector<Deferred> held;  // Read while paused.
};

// Path without query, and the value of one query parameter or `fallback`.
std::string PathOf(const HttpRequest& request);
std::int64_t QueryNumber(const HttpRequest& request,
                         const std::string& name,
                         std::int64_t fallback);

// `{"error": ...}` as an answer's body.
std::string ErrorBody(const std::string& reason);

}  // namespace kumquatcart::standins

#endif  // STANDINS_VM_HOST_H_
