#include "gateway/upstream_clients.h"

#include "gateway/gateway_constants.h"

namespace kumquatcart {

namespace {

web::http::client::http_client_config MakeConfig() {
  web::http::client::http_client_config config;
  config.set_timeout(kTransportTimeout);
  // A redirect would send a request a second time.
  config.set_max_redirects(0);
  config.set_proxy(web::web_proxy(web::web_proxy::disabled));
  return config;
}

web::uri MakeAddress(const Endpoint& endpoint) {
  web::uri_builder address;
  address.set_scheme("http");
  address.set_host(endpoint.host);
  address.set_port(endpoint.port);
  return address.to_uri();
}

}  // namespace

std::shared_ptr<UpstreamClients::Client> UpstreamClients::GetPooled(
    const Endpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::shared_ptr<Client>& client = this->clients[endpoint];
  if (client) {
    return client;
  }
  client = std::make_shared<Client>(MakeAddress(endpoint), MakeConfig());
  std::shared_ptr<Client> made = client;
  this->DropUnusedLocked();
  return made;
}

std::shared_ptr<UpstreamClients::Client> UpstreamClients::MakeFresh(
    const Endpoint& endpoint,
    const std::shared_ptr<ConnectGuard>& guard) {
  web::http::client::http_client_config config = MakeConfig();
  ConnectGuard::Attach(guard, &config);
  return std::make_shared<Client>(MakeAddress(endpoint), config);
}

void UpstreamClients::DropUnusedLocked() {
  if (this->clients.size() <= kMaxUpstreamClients) {
    return;
  }
  for (auto client = this->clients.begin(); client != this->clients.end();) {
    const bool unused = client->second.use_count() == 1;
    client = unused ? this->clients.erase(client) : std::next(client);
  }
}

}  // namespace kumquatcart
