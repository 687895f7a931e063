#include "gateway/connect_guard.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>

namespace kumquatcart {

ConnectGuard::~ConnectGuard() {
  if (this->duplicate >= 0) {
    ::close(this->duplicate);
  }
}

void ConnectGuard::Attach(const std::shared_ptr<ConnectGuard>& guard,
                          web::http::client::http_client_config* config) {
  config->set_nativehandle_options(
      [guard](web::http::client::native_handle handle) {
        auto* const socket = static_cast<boost::asio::ip::tcp::socket*>(handle);
        boost::system::error_code error;
        if (!socket->is_open()) {
          socket->open(boost::asio::ip::tcp::v4(), error);
        }
        if (!error) {
          guard->Watch(socket->native_handle());
        }
      });
}

bool ConnectGuard::BreakOff() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->duplicate < 0) {
    return false;
  }
  // Fails on a socket that is not connected yet, but aborts its connecting.
  ::shutdown(this->duplicate, SHUT_RDWR);
  return true;
}

void ConnectGuard::Watch(int descriptor) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->duplicate < 0) {
    this->duplicate = ::dup(descriptor);
  }
}

}  // namespace kumquatcart
