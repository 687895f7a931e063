#include "entry/answer_sender.h"

#include "net/http_status.h"

namespace kumquatcart {

namespace {

// Whether answers with `status` have a body, and with it a length.
bool AllowsBody(int status) {
  return status != kHttpNoContent && status != kHttpNotModified;
}

}  // namespace

void AnswerSender::SendWhole(int status,
                             HeaderList headers,
                             std::string_view body) {
  const bool has_body = !this->is_head_request && AllowsBody(status);
  this->framing = has_body ? ResponseFraming::kLength : ResponseFraming::kNone;
  this->ended = true;
  if (has_body) {
    headers.push_back({"Content-Length", std::to_string(body.size())});
  }
  if (this->closes_connection) {
    headers.push_back({"Connection", "close"});
  }
  std::string bytes = SerializeResponseHead(status, headers);
  if (has_body) {
    bytes += body;
  }
  this->connection->Send(std::move(bytes));
}

void AnswerSender::BeginStream(int status, HeaderList headers) {
  if (this->is_head_request) {
    this->framing = ResponseFraming::kNone;
  } else if (this->uses_chunks) {
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
  if (bytes.empty() || this->framing == ResponseFraming::kNone) {
    return;
  }
  this->connection->Send(this->framing == ResponseFraming::kChunked
                             ? SerializeChunk(bytes)
                             : std::string(bytes));
}

void AnswerSender::EndStream() {
  this->ended = true;
  if (this->framing == ResponseFraming::kChunked) {
    this->connection->Send(SerializeChunk({}));
  }
}

}  // namespace kumquatcart
