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
  void CloseAfterwards() { this->closes = true; }
  bool ClosesAfterwards() const { return this->closes; }

  void SendWhole(int status, HeaderList headers, std::string_view body);

  // A body of unknown length, in chunks.
  void BeginStream(int status, HeaderList headers);
  void SendPart(std::string_view bytes);
  void EndStream();

  bool HasBegun() const { return this->begun; }

 private:
  TcpConnection* const connection;
  const bool is_head_request;
  bool closes = false;
  bool begun = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_ANSWER_SENDER_H_
