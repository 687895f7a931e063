#include "entry/answer_sender.h"

namespace kumquatcart {

void AnswerSender::SendWhole(int status,
                             HeaderList headers,
                             std::string_view body) {
  this->framing = ResponseFraming::kLength;
  this->ended = true;
  headers.push_back({"Content-Length", std::to_string(body.size())});
  if (this->closes_connection) {
    headers.push_back({"Connection", "close"});
  }
  std::string bytes = SerializeResponseHead(status, headers);
  if (!this->is_head_request) {
    bytes += body;
  }
  this->connection->Send(std::move(bytes));
}

void AnswerSender::BeginStream(int status, HeaderList headers) {
  if (this->uses_chunks) {
    this->framing = ResponseFraming::kChunked;
    headers.push_back({"Transfer-Encoding", "chunked"});
  } else {
    this->framing = ResponseFraming::kConnection;
    this->closes_connection = true;
    // An orderly close would end the body as complete.
    this->connection->SetResetOnClose(true);
  }
  if (this->closes_connection) {
    headers.push_back({"Connection", "close"});
  }
  this->connection->Send(SerializeResponseHead(status, headers));
}

void AnswerSender::SendPart(std::string_view bytes) {
  if (!bytes.empty()) {
    this->connection->Send(this->uses_chunks ? SerializeChunk(bytes)
                                             : std::string(bytes));
  }
}

void AnswerSender::EndStream() {
  this->ended = true;
  if (this->uses_chunks) {
    this->connection->Send(SerializeChunk({}));
  }
}

}  // namespace kumquatcart
