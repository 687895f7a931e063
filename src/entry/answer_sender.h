// Sends one answer to a caller.
#ifndef ENTRY_ANSWER_SENDER_H_
#define ENTRY_ANSWER_SENDER_H_

#include <string>

#include "net/http_head.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

// Either SendWhole once, or BeginStream, SendPart and EndStream. Not thread
// safe.
class AnswerSender {
 public:
  // `is_head_request`: the answer has no body, whatever its fields say.
  AnswerSender(TcpConnection* connection, bool is_head_request)
      : connection(connection), is_head_request(is_head_request) {}

  // Announces in the head that the connection ends after this answer.
  void SetConnectionClose() { this->closes_connection = true; }
  bool ClosesConnection() const { return this->closes_connection; }

  void SendWhole(int status, HeaderList headers, std::string_view body);

  // A body of unknown length, in chunks.
  void BeginStream(int status, HeaderList headers);
  void SendPart(std::string_view bytes);
  void EndStream();

  bool HasBegun() const { return this->head_sent; }

 private:
  TcpConnection* const connection;
  const bool is_head_request;
  bool closes_connection = false;
  bool head_sent = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_ANSWER_SENDER_H_
