#include "peers/websocket_transport.h"

#include <cstdint>
#include <map>
#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "base/logging.h"
#include "peers/peer_constants.h"

namespace kumquatcart {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using IoService = websocketpp::lib::asio::io_service;
using Handle = websocketpp::connection_hdl;

// A connection with more unsent bytes is terminated, so that a peer that does
// not read cannot exhaust memory.
constexpr std::size_t kMaxUnsentBytes = 4 * 1024 * 1024;
constexpr long kHandshakeTimeoutMs = 2000;

struct Connection {
  Handle handle;
  bool by_client = false;
};

std::string MakeWebsocketUri(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.host.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + endpoint.host + "]" : endpoint.host;
  return "ws://" + host + ":" + std::to_string(endpoint.port) + "/";
}

}  // namespace

struct WebsocketTransport::Impl {
  explicit Impl(MetricRegistry* metrics)
      : oversized(
            &metrics->GetCounter("kumquatcart_peer_messages_refused_total",
                                 {{"reason", "oversized"}})),
        overflows(
            &metrics->GetCounter("kumquatcart_peer_send_overflows_total")) {
    this->ConfigureEndpoint(&this->server);
    this->ConfigureEndpoint(&this->client);
    this->server.set_reuse_addr(true);
    this->server.set_open_handler(
        [this](Handle handle) { this->OnAccepted(handle); });
  }

  template <class EndpointType>
  void ConfigureEndpoint(EndpointType* endpoint) {
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    endpoint->init_asio(&this->io);
    endpoint->set_max_message_size(kPeerMaxFrameBytes);
    endpoint->set_open_handshake_timeout(kHandshakeTimeoutMs);
    endpoint->set_close_handshake_timeout(kHandshakeTimeoutMs);
  }

  void OnAccepted(Handle handle) {
    const LinkId link = ++this->last_link;
    this->connections[link] = {handle, false};
    const auto connection = this->server.get_con_from_hdl(handle);
    this->Attach(connection, link);
    this->OnOpen(connection, link, false);
  }

  template <class ConnectionPointer>
  void Attach(const ConnectionPointer& connection, LinkId link) {
    using MessagePointer =
        typename ConnectionPointer::element_type::message_ptr;
    connection->set_message_handler(
        [this, link](Handle, MessagePointer message) {
          if (this->connections.count(link) > 0) {
            this->events.on_frame(link, message->get_payload());
          }
        });
    const auto on_end = [this, link, weak = std::weak_ptr(connection)](Handle) {
      const auto ended = weak.lock();
      const bool too_big =
          ended && ended->get_local_close_code() ==
                       websocketpp::close::status::message_too_big;
      this->oversized->Add(too_big ? 1 : 0);
      this->OnConnectionEnded(link);
    };
    connection->set_close_handler(on_end);
    connection->set_fail_handler(on_end);
  }

  template <class ConnectionPointer>
  void OnOpen(const ConnectionPointer& connection,
              LinkId link,
              bool initiated) {
    if (this->connections.count(link) == 0) {
      return;
    }
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
    this->events.on_open(link, initiated);
  }

  void OnConnectionEnded(LinkId link) {
    if (this->connections.erase(link) > 0) {
      this->events.on_closed(link);
    }
  }

  // Reports the end asynchronously, since the peer node does not expect events
  // during its own calls.
  void PostConnectionEnded(LinkId link) {
    this->io.post([this, link] { this->OnConnectionEnded(link); });
  }

  template <class EndpointType>
  void SendOn(EndpointType* endpoint,
              const Connection& connection,
              LinkId link,
              const std::string& frame) {
    websocketpp::lib::error_code failed;
    const auto pointer = endpoint->get_con_from_hdl(connection.handle, failed);
    if (!failed && pointer->get_buffered_amount() > kMaxUnsentBytes) {
      this->overflows->Add();
      pointer->terminate(websocketpp::lib::error_code());
      return;
    }
    if (!failed) {
      failed = pointer->send(frame, websocketpp::frame::opcode::binary);
    }
    if (failed) {
      this->PostConnectionEnded(link);
    }
  }

  template <class EndpointType>
  void CloseOn(EndpointType* endpoint, const Connection& connection) {
    websocketpp::lib::error_code ignored;
    endpoint->close(connection.handle, websocketpp::close::status::normal, "",
                    ignored);
  }

  Counter* oversized;
  Counter* overflows;
  Events events;
  IoService io;
  Server server;
  Client client;
  std::map<LinkId, Connection> connections;
  LinkId last_link = 0;
};

WebsocketTransport::WebsocketTransport(MetricRegistry* metrics)
    : impl(std::make_unique<Impl>(metrics)) {}

WebsocketTransport::~WebsocketTransport() = default;

void WebsocketTransport::SetEvents(Events events) {
  this->impl->events = std::move(events);
}

Result<std::uint16_t> WebsocketTransport::Listen(const Endpoint& endpoint) {
  try {
    const auto address = boost::asio::ip::make_address(endpoint.host);
    this->impl->server.listen({address, endpoint.port});
    this->impl->server.start_accept();
    websocketpp::lib::asio::error_code failed;
    return this->impl->server.get_local_endpoint(failed).port();
  } catch (const std::exception& error) {
    return MakeError(
        ErrorCode::kUnavailable,
        "cannot listen on " + endpoint.ToString() + ": " + error.what());
  }
}

void WebsocketTransport::Run() {
  const auto keep_running = boost::asio::make_work_guard(this->impl->io);
  while (!this->impl->io.stopped()) {
    try {
      this->impl->io.run();
    } catch (const std::exception& error) {
      // websocketpp can throw for a broken connection; the other connections
      // continue.
      LogError("peer_transport_exception", {{"error", error.what()}});
    }
  }
}

void WebsocketTransport::Stop() {
  this->impl->io.stop();
}

void WebsocketTransport::Post(std::function<void()> work) {
  this->impl->io.post(std::move(work));
}

LinkId WebsocketTransport::Connect(const Endpoint& endpoint) {
  Impl* const impl = this->impl.get();
  const LinkId link = ++impl->last_link;
  websocketpp::lib::error_code failed;
  const auto connection =
      impl->client.get_connection(MakeWebsocketUri(endpoint), failed);
  if (failed) {
    impl->connections[link] = {};
    impl->PostConnectionEnded(link);
    return link;
  }
  impl->connections[link] = {connection->get_handle(), true};
  impl->Attach(connection, link);
  connection->set_open_handler(
      [impl, link, weak = std::weak_ptr(connection)](Handle) {
        const auto opened = weak.lock();
        if (opened) {
          impl->OnOpen(opened, link, true);
        }
      });
  impl->client.connect(connection);
  return link;
}

void WebsocketTransport::Send(LinkId link, const std::string& frame) {
  Impl* const impl = this->impl.get();
  const auto found = impl->connections.find(link);
  if (found == impl->connections.end()) {
    return;
  }
  if (found->second.by_client) {
    impl->SendOn(&impl->client, found->second, link, frame);
  } else {
    impl->SendOn(&impl->server, found->second, link, frame);
  }
}

void WebsocketTransport::Close(LinkId link) {
  Impl* const impl = this->impl.get();
  const auto found = impl->connections.find(link);
  if (found == impl->connections.end()) {
    return;
  }
  const Connection connection = found->second;
  impl->connections.erase(found);
  if (connection.by_client) {
    impl->CloseOn(&impl->client, connection);
  } else {
    impl->CloseOn(&impl->server, connection);
  }
}

}  // namespace kumquatcart
