// Reads store records from other entry VMs.
#ifndef PEERS_RECORD_CLIENT_H_
#define PEERS_RECORD_CLIENT_H_

#include "net/http_client.h"
#include "peers/record_exchange.h"

namespace kumquatcart {

// Must be used on the event loop's thread.
class RecordClient {
 public:
  explicit RecordClient(EventLoop* loop) : loop(loop), http(loop) {}

  // Requests records from `peer` once. Errors: kExhausted if the peer rejects
  // the request because of its load, kUnavailable if it did not return the
  // records in time, kInvalidArgument if the response is malformed.
  Result<TopicBatch> Fetch(const TcpEndpoint& peer,
                           const RecordQuery& query,
                           Coroutine yield);

  // Closes pooled connections that can no longer be reused.
  void PruneIdle() { this->http.PruneIdle(); }

 private:
  EventLoop* const loop;
  HttpClient http;
};

}  // namespace kumquatcart

#endif  // PEERS_RECORD_CLIENT_H_
