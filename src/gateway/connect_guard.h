// Breaks off a connection attempt so that its failure stays provable.
#ifndef GATEWAY_CONNECT_GUARD_H_
#define GATEWAY_CONNECT_GUARD_H_

#include <memory>
#include <mutex>

#include <cpprest/http_client.h>

namespace kumquatcart {

// Holds a duplicate of the descriptor of one connection. The HTTP library
// reports every cancelled request alike; shutting the socket down instead makes
// it say whether the connection had come about. Thread safe; the mutex is a
// leaf in the lock order.
class ConnectGuard {
 public:
  ConnectGuard() = default;
  ~ConnectGuard();
  ConnectGuard(const ConnectGuard&) = delete;
  ConnectGuard& operator=(const ConnectGuard&) = delete;

  // Makes `config`'s connection report its socket to `guard` before it
  // connects.
  static void Attach(const std::shared_ptr<ConnectGuard>& guard,
                     web::http::client::http_client_config* config);

  // Shuts the socket down. Returns false when there is none yet.
  bool BreakOff();

 private:
  void Watch(int descriptor);

  std::mutex mutex;
  int duplicate = -1;
};

}  // namespace kumquatcart

#endif  // GATEWAY_CONNECT_GUARD_H_
