#include "gateway/listener_port.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <iterator>
#include <optional>
#include <system_error>
#include <thread>

#include <fmt/format.h>
#include <boost/asio/io_context.hpp>

#include "gateway/gateway_constants.h"

namespace kumquatcart {

namespace {

using boost::asio::ip::tcp;

constexpr char kDescriptors[] = "/proc/self/fd";
constexpr std::chrono::milliseconds kPollInterval{1};

// The descriptors that are open now.
std::vector<int> OpenDescriptors() {
  std::vector<int> descriptors;
  std::error_code error;
  std::filesystem::directory_iterator entry(kDescriptors, error);
  for (; !error && entry != std::filesystem::directory_iterator();
       entry.increment(error)) {
    descriptors.push_back(std::stoi(entry->path().filename().string()));
  }
  return descriptors;
}

std::optional<tcp::endpoint> LocalAddress(int descriptor) {
  tcp::endpoint address;
  socklen_t size = static_cast<socklen_t>(address.capacity());
  if (::getsockname(descriptor, address.data(), &size) != 0 ||
      (address.protocol().family() != AF_INET &&
       address.protocol().family() != AF_INET6)) {
    return std::nullopt;
  }
  return address;
}

int SocketOption(int descriptor, int option) {
  int value = -1;
  socklen_t size = sizeof(value);
  return ::getsockopt(descriptor, SOL_SOCKET, option, &value, &size) == 0
             ? value
             : -1;
}

bool IsListening(int descriptor) {
  return SocketOption(descriptor, SO_TYPE) == SOCK_STREAM &&
         SocketOption(descriptor, SO_ACCEPTCONN) == 1;
}

ino_t InodeOf(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 ? status.st_ino : 0;
}

// Lets packets from `port` alone reach a socket.
bool AttachFilter(int descriptor, std::uint16_t port) {
  // The filter sees the TCP header, which begins with the sender's port.
  sock_filter code[] = {
      {BPF_LD | BPF_H | BPF_ABS, 0, 0, 0},
      {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, port},
      {BPF_RET | BPF_K, 0, 0, 0xffffffff},
      {BPF_RET | BPF_K, 0, 0, 0},
  };
  const sock_fprog program{std::size(code), code};
  return ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}

// A connection of this process to its own port.
class Probe {
 public:
  explicit Probe(const tcp::endpoint& listening)
      : target(listening), socket(this->io) {
    if (this->target.address().is_unspecified()) {
      this->target.address(this->target.protocol() == tcp::v4()
                               ? boost::asio::ip::address(
                                     boost::asio::ip::address_v4::loopback())
                               : boost::asio::ip::address(
                                     boost::asio::ip::address_v6::loopback()));
    }
  }

  // The port that it will connect from, or 0 on failure.
  std::uint16_t Bind() {
    boost::system::error_code error;
    this->socket.open(this->target.protocol(), error);
    if (!error) {
      this->socket.bind(tcp::endpoint(this->target.address(), 0), error);
    }
    return error ? 0 : this->socket.local_endpoint(error).port();
  }

  // Connects, sends its end and waits for the other side's. Blocks for
  // at most kStopPortTimeout for each step.
  bool IsAcceptedAndEnded() {
    const int descriptor = this->socket.native_handle();
    const timeval timeout{kStopPortTimeout.count(), 0};
    for (const int option : {SO_SNDTIMEO, SO_RCVTIMEO}) {
      ::setsockopt(descriptor, SOL_SOCKET, option, &timeout, sizeof(timeout));
    }
    char byte = 0;
    return ::connect(descriptor, this->target.data(),
                     static_cast<socklen_t>(this->target.size())) == 0 &&
           ::shutdown(descriptor, SHUT_WR) == 0 &&
           ::recv(descriptor, &byte, 1, 0) == 0;
  }

 private:
  tcp::endpoint target;
  boost::asio::io_context io;
  tcp::socket socket;
};

}  // namespace

Result<ListenerPort> ListenerPort::Find(const std::string& host,
                                        std::int64_t port) {
  boost::asio::io_context io;
  boost::system::error_code error;
  // As the library resolves it.
  const auto resolved =
      tcp::resolver(io).resolve(host, std::to_string(port), error);
  if (!error && !resolved.empty()) {
    const tcp::endpoint address = resolved.begin()->endpoint();
    for (const int descriptor : OpenDescriptors()) {
      if (IsListening(descriptor) && LocalAddress(descriptor) == address) {
        return ListenerPort(address, descriptor, InodeOf(descriptor));
      }
    }
  }
  return MakeError(ErrorCode::kNotFound,
                   fmt::format("nothing listens on {}:{}", host, port));
}

bool ListenerPort::RefuseConnections() {
  Probe probe(this->address);
  const std::uint16_t port = probe.Bind();
  // The library accepts one connection after the other. The probe's is the last
  // one that comes through, so that it has taken over all others when it ends
  // that one.
  return port != 0 && AttachFilter(this->listening, port) &&
         probe.IsAcceptedAndEnded();
}

bool ListenerPort::EndConnections() {
  // The kernel's and the library's time, which no clock of a test moves.
  const auto begin = std::chrono::steady_clock::now();
  while (true) {
    const auto waited = std::chrono::steady_clock::now() - begin;
    // An end of what the caller sends lets the answer in progress be the last.
    this->ShutDown(waited < kStopAnswerGrace ? SHUT_RD : SHUT_RDWR);
    // The library closes a connection's socket only after it has taken the
    // connection off the listener.
    if (this->CountConnections() == 0) {
      return true;
    }
    if (waited > kStopPortTimeout) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void ListenerPort::Release() {
  if (IsListening(this->listening) && InodeOf(this->listening) == this->inode) {
    const int unused = 0;
    ::setsockopt(this->listening, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                 sizeof(unused));
  }
}

bool ListenerPort::Owns(int descriptor) const {
  const std::optional<tcp::endpoint> local = LocalAddress(descriptor);
  return local && local->port() == this->address.port() &&
         local->protocol() == this->address.protocol() &&
         (this->address.address().is_unspecified() ||
          local->address() == this->address.address()) &&
         SocketOption(descriptor, SO_ACCEPTCONN) == 0;
}

std::vector<int> ListenerPort::Connections() const {
  std::vector<int> connections;
  for (const int descriptor : OpenDescriptors()) {
    if (this->Owns(descriptor)) {
      connections.push_back(descriptor);
    }
  }
  return connections;
}

void ListenerPort::ShutDown(int how) const {
  for (const int descriptor : this->Connections()) {
    // A duplicate is still the same socket if the library closes its own
    // descriptor meanwhile and the number names another one.
    const int duplicate = ::dup(descriptor);
    if (duplicate < 0) {
      continue;
    }
    if (this->Owns(duplicate)) {
      ::shutdown(duplicate, how);
    }
    ::close(duplicate);
  }
}

}  // namespace kumquatcart
