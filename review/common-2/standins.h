// Stand-ins of the platform for the cases of this review: the metadata store, a
// plain replica, callers, and the start of an entry process with the command of
// the deploy file. One thread for each connection, blocking sockets, the real
// clock, loopback addresses only.
#ifndef REVIEW_COMMON_2_STANDINS_H_
#define REVIEW_COMMON_2_STANDINS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Lines of record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[600];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", Seconds());
    this->file << time << text << '\n';
    this->file.flush();
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int Listen(int port = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// The first of `count` ports that are free, below those that the kernel gives
// to connections.
inline int FreePort(int count = 1) {
  static std::mt19937 generator{std::random_device{}()};
  for (;;) {
    const int first =
        std::uniform_int_distribution<int>(10000, 32000)(generator);
    bool are_free = true;
    for (int port = first; port < first + count && are_free; ++port) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in address = Loopback(port);
        are_free =
            are_free && ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                               sizeof address) == 0;
        ::close(fd);
      }
    }
    if (are_free) {
      return first;
    }
  }
}

// `receive_buffer`: of the socket; 0 for the system's own choice. Gives up
// after `limit_ms`: "Clients allow a new channel one second to be established."
inline int Connect(int port, int receive_buffer = 0, int limit_ms = 1000) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
  }
  sockaddr_in address = Loopback(port);
  int error =
      ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
          ? 0
          : errno;
  if (error == EINPROGRESS) {
    pollfd connecting{fd, POLLOUT, 0};
    socklen_t size = sizeof error;
    if (::poll(&connecting, 1, limit_ms) == 1) {
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
  }
};

// Splits a head. `text` ends after its empty line.
inline Message ParseHead(const std::string& text) {
  Message message;
  std::size_t at = text.find("\r\n");
  message.first_line = text.substr(0, at);
  while (at + 2 < text.size()) {
    const std::size_t begin = at + 2;
    at = text.find("\r\n", begin);
    if (at == begin || at == std::string::npos) {
      break;
    }
    const std::string line = text.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  return message;
}

// Reads requests of one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}

  std::optional<Message> Next() {
    std::size_t end = std::string::npos;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->More()) {
        return std::nullopt;
      }
    }
    Message message = ParseHead(this->buffer.substr(0, end + 4));
    this->buffer.erase(0, end + 4);
    const std::string length = message.Field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->buffer.size() < size) {
      if (!this->More()) {
        return std::nullopt;
      }
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return message;
  }

 private:
  bool More() {
    char chunk[65536];
    const ssize_t count = ::recv(this->fd, chunk, sizeof chunk, 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  const int fd;
  std::string buffer;
};

// Serves each request with `handle`, which returns the whole answer.
inline int ServeHttp(std::function<std::string(const Message&)> handle) {
  const int listener = Listen();
  std::thread([listener, handle = std::move(handle)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([fd, handle] {
        Reader reader(fd);
        while (const std::optional<Message> request = reader.Next()) {
          if (!SendAll(fd, handle(*request))) {
            break;
          }
        }
        ::close(fd);
      }).detach();
    }
  }).detach();
  return PortOf(listener);
}

inline std::string Answer(int status,
                          const std::string& body,
                          const std::string& fields = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Base64(const std::string& bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

inline std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(number >> shift & 255);
  }
  return text;
}

// The platform's metadata store: keyed topics with one partition.
class Store {
 public:
  Store()
      : port(ServeHttp([this](const Message& request) {
          return this->Handle(request);
        })) {}

  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->topics[topic].push_back({key, value});
    this->changed.notify_all();
  }

  int Port() const { return this->port; }

 private:
  using Records = std::vector<std::pair<std::string, std::string>>;

  static std::string Query(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string pair = target.substr(at + 1, end - at - 1);
      if (pair.compare(0, name.size() + 1, name + "=") == 0) {
        return pair.substr(name.size() + 1);
      }
      at = end;
    }
    return {};
  }

  std::string Handle(const Message& request) {
    const std::string& line = request.first_line;
    const std::size_t begin = line.find(' ') + 1;
    const std::string target = line.substr(begin, line.rfind(' ') - begin);
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = Query(target, "topic");
    std::unique_lock<std::mutex> lock(this->mutex);
    if (path == "/api/log-newest") {
      return this->Newest(topic);
    }
    if (path == "/api/log-read") {
      const std::string wait = Query(target, "wait_ms");
      const std::size_t from = std::stoul(Query(target, "from"));
      this->changed.wait_for(
          lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait)),
          [&] { return this->topics[topic].size() > from; });
      return this->Read(topic, from);
    }
    if (path == "/api/log-append") {
      return this->Append(topic, Query(target, "at"), request.body);
    }
    return Answer(404, "{}");
  }

  std::string Newest(const std::string& topic) {
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    const Records& records = this->topics[topic];
    for (std::size_t i = 0; i < records.size(); ++i) {
      newest[records[i].first] = {records[i].second, i};
    }
    std::string items;
    for (const auto& [key, value] : newest) {
      if (!value.first.empty()) {
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
                 "\",\"value\":\"" + Base64(value.first) +
                 "\",\"offset\":" + std::to_string(value.second) + "}";
      }
    }
    return Answer(200, "{\"items\":[" + items +
                           "],\"has_more\":false,\"end\":" +
                           std::to_string(records.size()) + "}");
  }

  std::string Read(const std::string& topic, std::size_t from) {
    const Records& records = this->topics[topic];
    std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      const auto& [key, value] = records[i];
      body += BigEndian(1 + key.size() + value.size(), 4) +
              BigEndian(key.size(), 1) + key + value;
    }
    return Answer(200, body);
  }

  std::string Append(const std::string& topic,
                     const std::string& at,
                     const std::string& body) {
    Records& records = this->topics[topic];
    if (!at.empty() && std::stoul(at) != records.size()) {
      return Answer(412, "{\"end\":" + std::to_string(records.size()) + "}");
    }
    const std::size_t offset = records.size();
    for (std::size_t i = 0; i + 5 <= body.size();) {
      std::size_t size = 0;
      for (std::size_t k = 0; k < 4; ++k) {
        size = size << 8 | static_cast<unsigned char>(body[i + k]);
      }
      const std::size_t key_size = static_cast<unsigned char>(body[i + 4]);
      records.push_back({body.substr(i + 5, key_size),
                         body.substr(i + 5 + key_size, size - 1 - key_size)});
      i += 4 + size;
    }
    this->changed.notify_all();
    return Answer(200, "{\"offset\":" + std::to_string(offset) +
                           ",\"end\":" + std::to_string(records.size()) + "}");
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Records> topics;
  const int port;
};

inline std::string ServerEntry(const std::string& service,
                               int port,
                               int slots,
                               std::int64_t born_ms) {
  return "{\"service\":\"" + service +
         "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" +
         std::to_string(slots) +
         ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" +
         std::to_string(born_ms) + "}";
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// One idempotent route, open to all, to one plain service.
inline std::string PlainConfig(int timeout_ms) {
  return "{\"version\":1,\"routes\":[{\"name\":\"lookup\",\"host\":"
         "\"site.example\",\"path_prefix\":\"/lookup/"
         "\",\"kind\":\"idempotent\","
         "\"timeout_ms\":" +
         std::to_string(timeout_ms) +
         ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"registry\","
         "\"attempts\":2,\"public\":true}],\"services\":[{\"name\":"
         "\"registry\","
         "\"health_path\":\"/health\",\"max_connections\":404}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// Answers each request after `work_ms` with as many bytes as its target says
// after "size=".
inline int StartReplica(int work_ms, Record* record, std::atomic<int>* runs) {
  return ServeHttp([work_ms, record, runs](const Message& request) {
    const std::string id = request.Field("x-request-id");
    const std::size_t size_at = request.first_line.find("size=");
    const std::size_t size =
        size_at == std::string::npos
            ? 2
            : std::stoul(request.first_line.substr(size_at + 5));
    SleepMs(work_ms);
    ++*runs;
    if (record != nullptr) {
      record->Line("replica runs %s", id.c_str());
    }
    return Answer(
        200, std::string(size, 'x'),
        "X-Request-Id: " + id + "\r\nX-Response-Seal: seal." + id + "\r\n");
  });
}

// An entry process, started with the command of the deploy file in the
// repository's root.
class EntryProcess {
 public:
  EntryProcess(const std::string& folder, int store_port, int memory_mb)
      : folder(folder), front(FreePort(18)), ready(this->front + 1) {
    const int inner = this->front + 2;
    std::ofstream(folder + "/settings.json")
        << "{\"node_name\":\"front-a-1\",\"role\":\"entry\",\"machine_class\":"
           "\"front\",\"serves\":[\"front\"],\"ip\":\"127.0.0.1\",\"zone\":"
           "\"zone-a\",\"region\":\"region\",\"zones\":{\"zone-a\":\"region\"},"
           "\"listen\":{\"front\":\"127.0.0.1:"
        << this->front << "\",\"ready\":\"127.0.0.1:" << this->ready
        << "\"},\"inner_ports\":[" << inner << "," << inner + 15
        << "],\"seeds\":[],\"bootstrap\":true,\"limits\":{\"cpu_share\":0.25,"
           "\"cores\":1,\"memory_mb\":"
        << memory_mb
        << ",\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
           "\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
           "\"heartbeat_ms\":1200,\"tolerate\":{\"machines\":1,\"zones\":1,"
           "\"regions\":0},\"bounds\":{\"stable_window_ms\":3000,\"drain_ms\":"
           "2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_propagation_ms\":"
           "2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
           "\"retry_budget_base\":134,\"recover_s\":12,\"stall_ms\":6000},"
           "\"platform\":{\"address\":\"127.0.0.1:"
        << store_port
        << "\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,"
           "\"parts\":16,\"record_bytes\":262144,\"call_bytes\":2097152,"
           "\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}";
    this->process = ::fork();
    if (this->process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the stand-ins.
      const std::string variable =
          "KUMQUATCART_SETTINGS=" + folder + "/settings.json";
      const std::string log = folder + "/entry.log";
      const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const char* const arguments[] = {"target/release/bin/kumquatcart",
                                       "entry", nullptr};
      const char* const variables[] = {variable.c_str(), "PATH=/usr/bin:/bin",
                                       nullptr};
      ::execve(arguments[0], const_cast<char* const*>(arguments),
               const_cast<char* const*>(variables));
      ::_exit(127);
    }
  }

  ~EntryProcess() {
    if (!this->HasEnded()) {
      this->Signal(SIGKILL);
      ::waitpid(this->process, &this->status, 0);
    }
  }

  int Front() const { return this->front; }
  void Signal(int number) const { ::kill(this->process, number); }

  bool HasEnded() {
    if (!this->ended &&
        ::waitpid(this->process, &this->status, WNOHANG) == this->process) {
      this->ended = true;
    }
    return this->ended;
  }
  int Status() const { return this->status; }

  // As the platform asks.
  bool IsReady() const {
    const int fd = Connect(this->ready);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    char text[256] = {};
    const ssize_t count = ::recv(fd, text, sizeof text - 1, 0);
    ::close(fd);
    return count > 12 && std::strncmp(text + 9, "200", 3) == 0;
  }

  bool WaitReady() const {
    for (int i = 0; i < 100; ++i) {
      if (this->IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  // Resident memory, in megabytes of 2^20 bytes.
  double MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    long pages = 0;
    long resident = 0;
    file >> pages >> resident;
    return static_cast<double>(resident) * ::sysconf(_SC_PAGESIZE) / 1048576;
  }

 private:
  const std::string folder;
  const int front;
  const int ready;
  pid_t process = -1;
  int status = 0;
  bool ended = false;
};

// How a caller reads its answer.
struct Pace {
  std::size_t bytes_per_read = 65536;
  int ms_between_reads = 0;
  int pause_ms = 0;  // Once, after the first bytes.
  int receive_buffer = 65536;
};

struct Outcome {
  int status = 0;
  std::size_t body_bytes = 0;
  std::size_t announced = 0;
  bool is_whole = false;
  bool closed = false;  // By the entry process, before the answer was whole.
  double ended_at = 0;  // Seconds from the first byte of the request.
  std::string end;
};

// Sends one request on `fd`, reads the answer at `pace` and gives up at the
// time limit, which it states.
inline Outcome Request(int fd,
                       const std::string& id,
                       std::size_t size,
                       int limit_ms,
                       const Pace& pace) {
  Outcome outcome;
  const Clock::time_point begin = Clock::now();
  const auto left_ms = [&] {
    return limit_ms - std::chrono::duration_cast<std::chrono::milliseconds>(
                          Clock::now() - begin)
                          .count();
  };
  const auto finish = [&](const char* end, bool closed) {
    outcome.end = end;
    outcome.closed = closed;
    outcome.ended_at =
        std::chrono::duration<double>(Clock::now() - begin).count();
    return outcome;
  };
  if (!SendAll(fd, "GET /lookup/" + id + "?size=" + std::to_string(size) +
                       " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " +
                       id + "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) +
                       "\r\n\r\n")) {
    return finish("the request could not be sent", true);
  }
  std::string head;
  bool has_head = false;
  bool has_paused = false;
  std::vector<char> chunk(pace.bytes_per_read);
  for (;;) {
    const auto left = left_ms();
    if (left <= 0) {
      return finish("the caller's time limit", false);
    }
    const timeval limit{left / 1000, left % 1000 * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const ssize_t count = ::recv(fd, chunk.data(), chunk.size(), 0);
    if (count == 0) {
      return finish("the channel was closed", true);
    }
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR
                 ? finish("the caller's time limit", false)
                 : finish("the channel was reset", true);
    }
    if (has_head) {
      outcome.body_bytes += static_cast<std::size_t>(count);
    } else {
      head.append(chunk.data(), static_cast<std::size_t>(count));
      const std::size_t end = head.find("\r\n\r\n");
      if (end == std::string::npos) {
        continue;
      }
      has_head = true;
      const Message answer = ParseHead(head.substr(0, end + 4));
      outcome.status = std::atoi(answer.first_line.substr(9, 3).c_str());
      outcome.announced =
          std::strtoul(answer.Field("content-length").c_str(), nullptr, 10);
      outcome.body_bytes = head.size() - end - 4;
    }
    if (outcome.body_bytes >= outcome.announced) {
      outcome.is_whole = true;
      return finish("whole", false);
    }
    if (!has_paused && pace.pause_ms > 0) {
      has_paused = true;
      SleepMs(pace.pause_ms);
    }
    if (pace.ms_between_reads > 0) {
      SleepMs(pace.ms_between_reads);
    }
  }
}

inline bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

}  // namespace review

#endif  // REVIEW_COMMON_2_STANDINS_H_
