// Serializes one HTTP answer to a caller's connection.
#ifndef ENTRY_ANSWER_SENDER_H_
#define ENTRY_ANSWER_SENDER_H_

#include <optional>
#include <string>

#include "net/http_head.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

// Usage: either one call of SendWhole, or BeginStream, any number of SendPart
// and EndStream. Not thread safe.
class AnswerSender {
 public:
  // `is_head_request`: no body is sent, whatever the header fields announce.
  AnswerSender(TcpConnection* connection, bool is_head_request)
      : connection(connection), is_head_request(is_head_request) {}

  // Adds `Connection: close` to the head of the answer.
  void SetConnectionClose() { this->closes_connection = true; }
  bool ClosesConnection() const { return this->closes_connection; }

  // For callers of HTTP/1.0: a body of unknown length ends with the connection.
  void DisableChunks() { this->uses_chunks = false; }

  void SendWhole(int status, HeaderList headers, std::string_view body);

  // A body of unknown length, with chunked transfer coding unless disabled.
  void BeginStream(int status, HeaderList headers);
  void SendPart(std::string_view bytes);
  void EndStream();

  bool HasBegun() const { return this->framing.has_value(); }
  // Whether all of the answer was passed to the connection.
  bool HasEnded() const { return this->ended; }
  // Precondition: HasBegun().
  ResponseFraming Framing() const { return *this->framing; }

 private:
  TcpConnection* const connection;
  const bool is_head_request;
  bool closes_connection = false;
  bool uses_chunks = true;
  std::optional<ResponseFraming> framing;  // Set with the head.
  bool ended = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_ANSWER_SENDER_H_
