// Status and orders of model engines over HTTP.
#ifndef PLATFORM_HTTP_ENGINE_CONTROL_H_
#define PLATFORM_HTTP_ENGINE_CONTROL_H_

#include <map>
#include <memory>
#include <mutex>

#include <cpprest/http_client.h>

#include "base/clock.h"
#include "platform/engine_control.h"

namespace kumquatcart {

// Thread safe. Keeps one client an endpoint, so that connections are reused;
// orders are idempotent, which makes the library's own repeats harmless. A
// client is replaced after a failed call, so that a connection gone silent is
// not used again.
class HttpEngineControl : public EngineControl {
 public:
  // Precondition: `clock` outlives the control.
  explicit HttpEngineControl(Clock* clock);

  Result<EngineStatus> FetchStatus(const Endpoint& endpoint,
                                   Duration timeout) override;
  Result<EngineStatus> SendOrder(const Endpoint& endpoint,
                                 const EngineOrder& order,
                                 Duration timeout) override;
  Status ProbeService(const Endpoint& endpoint, Duration timeout) override;

 private:
  using Client = web::http::client::http_client;

  std::shared_ptr<Client> ClientOf(const Endpoint& endpoint);
  // Forgets `client` unless it was replaced already.
  void Drop(const Endpoint& endpoint, const std::shared_ptr<Client>& client);

  Clock* const clock;
  std::mutex mutex;  // Guards `clients`; leaf in the lock order.
  std::map<Endpoint, std::shared_ptr<Client>> clients;
};

}  // namespace kumquatcart

#endif  // PLATFORM_HTTP_ENGINE_CONTROL_H_
