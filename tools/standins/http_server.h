// HTTP server whose connections can be cut, held silent or broken off in the
// middle of an answer.
//
// The stand-ins use Boost.Beast here: cpprestsdk's listener offers no way to
// cut one connection or to close with requests unanswered, which the faults
// need.
#ifndef STANDINS_HTTP_SERVER_H_
#define STANDINS_HTTP_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart::standins {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Copied from a request into its answer.
struct EchoedHeader {
  std::string name;
  std::string value;
};

class HttpConnection;
using ConnectionPtr = std::shared_ptr<HttpConnection>;

// Answers a request by the connection's methods, at once or later, or never.
using HttpHandler =
    std::function<void(const HttpRequest& request, ConnectionPtr connection)>;

// One connection of a client. Everything runs on the thread of its io_context.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(boost::asio::ip::tcp::socket socket, HttpHandler handler);

  void Start();

  // Sends a whole answer.
  void Reply(int status,
             std::string body,
             std::vector<EchoedHeader> headers = {});

  // Sends an answer in chunks, one line each, ended by EndLines.
  void BeginLines();
  void SendLine(std::string line);
  void EndLines();

  // Cuts the connection with a reset.
  void Abort();

  // Closes the connection in order, without an answer.
  void Close();

  bool IsOpen() const { return this->socket.is_open(); }

  // Called once when the client goes away or the connection is cut before the
  // present answer is whole.
  void OnClosed(std::function<void()> callback);

 private:
  struct Piece {
    std::string bytes;
    bool last = false;  // The answer is whole after it.
  };

  void ReadRequest();
  void HandleRequest();
  void WatchForClose();
  void Send(Piece piece);
  void WriteNext();
  void FinishAnswer();

  boost::asio::ip::tcp::socket socket;
  HttpHandler handler;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  std::deque<Piece> pieces;
  std::function<void()> closed_callback;
  bool answering = false;
  std::uint64_t answer_number = 0;  // Tells a stale watch from the present one.
  bool keep_alive = true;
};

// Accepts connections on one port while open. Runs on the thread of its
// io_context.
class HttpServer {
 public:
  // Precondition: `context` outlives the server.
  HttpServer(boost::asio::io_context* context,
             Endpoint endpoint,
             HttpHandler handler);
  ~HttpServer();

  // Starts to listen; port 0 takes a free one. Error: kUnavailable.
  Status Open();

  // Stops listening and cuts every connection.
  void Close();

  // The port listened on. Precondition: open.
  std::uint16_t Port() const;

 private:
  void Accept();

  const Endpoint endpoint;
  HttpHandler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<std::weak_ptr<HttpConnection>> connections;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_HTTP_SERVER_H_
