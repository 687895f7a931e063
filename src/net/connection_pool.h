// Pool of idle connections to servers.
#ifndef NET_CONNECTION_POOL_H_
#define NET_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "net/tcp_connection.h"

namespace kumquatcart {

using ConnectionPtr = std::shared_ptr<TcpConnection>;

// Must be used on the event loop's thread.
class ConnectionPool {
 public:
  explicit ConnectionPool(EventLoop* loop) : loop(loop) {}

  // Removes and returns the most recently used connection to `endpoint` that is
  // open, has no unread input and has been idle for at most `max_idle`. Returns
  // null if there is none.
  ConnectionPtr TakeIdle(const TcpEndpoint& endpoint, Duration max_idle);

  // Adds `connection` to the pool for at most `idle_limit`, or closes it if the
  // pool is full for `endpoint`. Precondition: its last response was complete
  // and allows reuse.
  void ReturnConnection(const TcpEndpoint& endpoint,
                        ConnectionPtr connection,
                        Duration idle_limit);

  // Closes the connections to `endpoint`.
  void CloseIdle(const TcpEndpoint& endpoint);

  // Closes connections that exceed their idle limit, were closed by the peer or
  // hold unread input.
  void CloseUnusable();

 private:
  EventLoop* const loop;
  std::map<TcpEndpoint, std::vector<ConnectionPtr>> idle;
};

}  // namespace kumquatcart

#endif  // NET_CONNECTION_POOL_H_
