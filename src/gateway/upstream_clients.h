// HTTP clients of the backend servers.
#ifndef GATEWAY_UPSTREAM_CLIENTS_H_
#define GATEWAY_UPSTREAM_CLIENTS_H_

#include <map>
#include <memory>
#include <mutex>

#include <cpprest/http_client.h>

#include "gateway/connect_guard.h"
#include "model/vm.h"

namespace kumquatcart {

// Keeps one HTTP client, with its pool of idle connections, for each endpoint.
// Thread safe; the mutex is a leaf in the lock order.
class UpstreamClients {
 public:
  using Client = web::http::client::http_client;

  // The pooled client of `endpoint`.
  std::shared_ptr<Client> GetPooled(const Endpoint& endpoint);

  // A client with no connection open, used for one request and watched by
  // `guard`.
  static std::shared_ptr<Client> MakeFresh(
      const Endpoint& endpoint,
      const std::shared_ptr<ConnectGuard>& guard);

 private:
  void DropUnusedLocked();

  std::mutex mutex;
  std::map<Endpoint, std::shared_ptr<Client>> clients;
};

}  // namespace kumquatcart

#endif  // GATEWAY_UPSTREAM_CLIENTS_H_
