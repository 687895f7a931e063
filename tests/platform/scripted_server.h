// HTTP server on an ephemeral port that answers by script.
#ifndef PLATFORM_SCRIPTED_SERVER_H_
#define PLATFORM_SCRIPTED_SERVER_H_

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "standins/http_server.h"

namespace kumquatcart {

// What to do with one request.
struct ScriptedAnswer {
  enum class Kind { kReply, kCut, kClose, kHold };

  Kind kind = Kind::kReply;
  int status = 200;
  std::string body;
  std::function<void()> on_request;  // Called first, on the server's thread.
};

inline ScriptedAnswer Reply(int status, std::string body) {
  return {ScriptedAnswer::Kind::kReply, status, std::move(body), nullptr};
}
inline ScriptedAnswer Cut() {
  return {ScriptedAnswer::Kind::kCut, 0, "", nullptr};
}
inline ScriptedAnswer Close() {
  return {ScriptedAnswer::Kind::kClose, 0, "", nullptr};
}
inline ScriptedAnswer Hold(std::function<void()> on_request) {
  return {ScriptedAnswer::Kind::kHold, 0, "", std::move(on_request)};
}

// Takes one answer a request, in order; requests beyond the script are held.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<ScriptedAnswer> script)
      : script(script.begin(), script.end()),
        guard(this->context.get_executor()),
        server(&this->context,
               Endpoint{"127.0.0.1", 0},
               [this](const standins::HttpRequest& request,
                      standins::ConnectionPtr connection) {
                 this->Take(request, std::move(connection));
               }) {
    if (!this->server.Open().has_value()) {
      std::abort();
    }
    this->port = this->server.Port();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~ScriptedServer() {
    this->context.stop();
    this->thread.join();
  }

  Endpoint Address() const { return Endpoint{"127.0.0.1", this->port}; }
  std::string Url() const { return "http://" + this->Address().ToString(); }

  // "METHOD target body" of every request so far.
  std::vector<std::string> Requests() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->requests;
  }

 private:
  void Take(const standins::HttpRequest& request,
            standins::ConnectionPtr connection) {
    ScriptedAnswer answer = Hold(nullptr);
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->requests.push_back(std::string(request.method_string()) + " " +
                               std::string(request.target()) + " " +
                               request.body());
      if (!this->script.empty()) {
        answer = this->script.front();
        this->script.pop_front();
      }
    }
    if (answer.on_request) {
      answer.on_request();
    }
    if (answer.kind == ScriptedAnswer::Kind::kReply) {
      connection->Reply(answer.status, answer.body);
    } else if (answer.kind == ScriptedAnswer::Kind::kCut) {
      connection->Abort();
    } else if (answer.kind == ScriptedAnswer::Kind::kClose) {
      connection->Close();
    } else {
      this->held.push_back(std::move(connection));
    }
  }

  std::mutex mutex;  // Guards `script` and `requests`.
  std::deque<ScriptedAnswer> script;
  std::vector<std::string> requests;
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard;
  standins::HttpServer server;
  std::vector<standins::ConnectionPtr> held;
  std::uint16_t port = 0;
  std::thread thread;
};

// A URL where nothing listens.
inline Endpoint ClosedAddress() {
  const ScriptedServer gone({});
  return gone.Address();
}

}  // namespace kumquatcart

#endif  // PLATFORM_SCRIPTED_SERVER_H_
