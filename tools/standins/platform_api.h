// The platform's port: log, VM list, weight store, execution counts, faults.
#ifndef STANDINS_PLATFORM_API_H_
#define STANDINS_PLATFORM_API_H_

#include <cstdint>
#include <list>
#include <string>

#include "standins/fault_api.h"
#include "standins/http_server.h"
#include "standins/scheduler.h"
#include "standins/stand_ins.h"

namespace kumquatcart::standins {

// Everything runs on the io_context's thread.
class PlatformApi {
 public:
  // Precondition: everything pointed to outlives the interface.
  PlatformApi(boost::asio::io_context* context,
              Scheduler* scheduler,
              StandIns* stand_ins,
              const Endpoint& endpoint);

  // Error: kUnavailable.
  Status Start();

  // The port listened on. Precondition: started.
  std::uint16_t Port() const { return this->server.Port(); }

 private:
  // A log read that waits for a record.
  struct WaitingRead {
    StreamName stream;
    Offset from = kNoOffset;
    std::size_t max_records = 0;
    MonotonicTime until;
    ConnectionPtr connection;
  };

  void Handle(const HttpRequest& request, const ConnectionPtr& connection);
  void HandleLog(const HttpRequest& request, const ConnectionPtr& connection);
  void Append(const HttpRequest& request, const ConnectionPtr& connection);
  void Read(const HttpRequest& request, const ConnectionPtr& connection);
  // Answers a read unless it may still wait. True when it is done.
  bool TryRead(const WaitingRead& read);
  void RetryReads();
  void HandleFaults(const HttpRequest& request,
                    const ConnectionPtr& connection);

  Scheduler* scheduler;
  StandIns* stand_ins;
  FaultApi fault_api;
  HttpServer server;
  std::list<WaitingRead> waiting;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_PLATFORM_API_H_
