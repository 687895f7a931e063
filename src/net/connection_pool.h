// Idle connections to servers, kept for reuse.
#ifndef NET_CONNECTION_POOL_H_
#define NET_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "net/tcp_connection.h"

namespace kumquatcart {

using ConnectionPtr = std::shared_ptr<TcpConnection>;

// For the event loop's thread.
class ConnectionPool {
 public:
  explicit ConnectionPool(EventLoop* loop) : loop(loop) {}

  // The most recently used idle connection to `endpoint` that is open, quiet
  // and idle for no longer than `max_idle`; null where there is none.
  ConnectionPtr TakeIdle(const TcpEndpoint& endpoint, Duration max_idle);

  // Keeps `connection` for reuse during `idle_limit`. Precondition: its last
  // response was complete and allows reuse.
  void Keep(const TcpEndpoint& endpoint,
            ConnectionPtr connection,
            Duration idle_limit);

  // Closes connections that are past their limit or ended by the other side.
  void Prune();

 private:
  EventLoop* const loop;
  std::map<TcpEndpoint, std::vector<ConnectionPtr>> idle;
};

}  // namespace kumquatcart

#endif  // NET_CONNECTION_POOL_H_
