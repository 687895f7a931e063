#include "net/connection_pool.h"

#include <algorithm>

#include "net/net_constants.h"

namespace kumquatcart {

namespace {

bool IsReusable(const TcpConnection& connection, MonotonicTime now) {
  return !connection.HasEnded() && connection.Input().empty() &&
         now - connection.idle_since < connection.idle_limit;
}

}  // namespace

ConnectionPtr ConnectionPool::TakeIdle(const TcpEndpoint& endpoint,
                                       Duration max_idle) {
  const auto found = this->idle.find(endpoint);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const MonotonicTime now = this->loop->Now();
  std::vector<ConnectionPtr>& connections = found->second;
  while (!connections.empty()) {
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    // The server may have closed it or sent more since the loop last read it.
    connection->ReadPending();
    if (!IsReusable(*connection, now)) {
      connection->Close();
      continue;
    }
    if (now - connection->idle_since > max_idle) {
      // All other connections have been idle for longer.
      connections.push_back(std::move(connection));
      return nullptr;
    }
    return connection;
  }
  return nullptr;
}

void ConnectionPool::ReturnConnection(const TcpEndpoint& endpoint,
                                      ConnectionPtr connection,
                                      Duration idle_limit) {
  connection->SetWaiter(nullptr);
  connection->idle_since = this->loop->Now();
  connection->idle_limit = idle_limit;
  std::vector<ConnectionPtr>& connections = this->idle[endpoint];
  if (connections.size() >= kMaxIdleConnectionsPerEndpoint) {
    connection->Close();
    return;
  }
  connections.push_back(std::move(connection));
}

void ConnectionPool::CloseIdle(const TcpEndpoint& endpoint) {
  const auto found = this->idle.find(endpoint);
  if (found == this->idle.end()) {
    return;
  }
  for (const ConnectionPtr& connection : found->second) {
    connection->Close();
  }
  this->idle.erase(found);
}

void ConnectionPool::CloseUnusable() {
  const MonotonicTime now = this->loop->Now();
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    std::vector<ConnectionPtr>& connections = entry->second;
    const auto stale = std::partition(connections.begin(), connections.end(),
                                      [now](const ConnectionPtr& connection) {
                                        return IsReusable(*connection, now);
                                      });
    std::for_each(stale, connections.end(),
                  [](const ConnectionPtr& connection) { connection->Close(); });
    connections.erase(stale, connections.end());
    entry = connections.empty() ? this->idle.erase(entry) : std::next(entry);
  }
}

}  // namespace kumquatcart
