#include "peers/record_client.h"

#include <fmt/format.h>

#include "net/http_status.h"

namespace kumquatcart {

namespace {

// Short, since a peer answers from memory.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);
// Maximum idle time of pooled connections between entry VMs.
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(3);

}  // namespace

Result<TopicBatch> RecordClient::Fetch(const TcpEndpoint& peer,
                                       const RecordQuery& query,
                                       Coroutine yield) {
  const HttpResponse reply = this->http.Exchange(
      peer, OutgoingRequest{"GET", EncodeRecordQuery(query), {}, {}},
      this->loop->Now() + kPeerTimeout, kPeerIdleTimeout, yield);
  if (reply.HasResponseStatus(kHttpTooManyRequests)) {
    return MakeError(ErrorCode::kExhausted, "the peer is overloaded");
  }
  if (!reply.HasResponseStatus(kHttpOk)) {
    return MakeError(
        ErrorCode::kUnavailable,
        fmt::format(
            "request to peer failed: {}, status {}, {} body bytes received",
            ToString(reply.result), reply.status, reply.partial_body_bytes));
  }
  const LoopStep step(this->loop->Monitor(), "decode_records",
                      ToString(query.topic));
  return DecodeTopicBatch(reply.body);
}

}  // namespace kumquatcart
