// The platform's store and model servers on the event loop, as far as tests of
// their callers need them.
#ifndef FAKES_LOOP_STORE_H_
#define FAKES_LOOP_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "entry/simple_http_server.h"
#include "fakes/free_address.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Keeps topics in memory and speaks the store's calls.
class LoopStore {
 public:
  explicit LoopStore(EventLoop* loop)
      : address(FreeAddress()),
        service(loop,
                [this, loop](const ParsedRequest& request, Coroutine yield) {
                  const int silences_before = this->silences;
                  if (this->reads_wait) {
                    this->AwaitRecords(request, loop, yield);
                  }
                  if (this->answer_delay > Duration{0}) {
                    loop->Sleep(this->answer_delay, yield);
                  }
                  if (this->is_silent || this->silences != silences_before) {
                    loop->Sleep(kLostAnswerTime, yield);
                  }
                  SimpleHttpResponse answer = this->Answer(request);
                  if (this->era) {
                    answer.headers.push_back({"Store-Era", *this->era});
                  }
                  return answer;
                }) {
    if (this->service.Start(this->address).has_error()) {
      std::abort();
    }
  }

  const TcpEndpoint& Address() const { return this->address; }

  // Adds a record; an empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    this->topics[topic].push_back(EncodeRecord(key, value));
  }

  std::size_t End(const std::string& topic) {
    return this->topics[topic].size();
  }

  // Records before this offset are gone, as after retention.
  void Expire(const std::string& topic) {
    this->first[topic] = this->topics[topic].size();
  }

  using Topics = std::map<std::string, std::vector<std::string>>;

  // The topics as they are now, for a later call of ComeBackFrom.
  Topics Copy() const { return this->topics; }

  // Loses what was written since `copy` was made. Offsets are given out again,
  // and reads from offsets that are not there get 410.
  void ComeBackFrom(Topics copy) { this->topics = std::move(copy); }

  // What all answers say in Store-Era; none: no such header.
  std::optional<std::string> era;
  // Reads of newest records and since an offset, by topic.
  std::map<std::string, int> newest_reads;
  std::map<std::string, int> reads;
  // Whether a topic that nobody has written to gets 404.
  bool has_missing_topics = false;

  // Whether reads wait for a record as long as their callers ask for. Without,
  // they are answered at once.
  bool reads_wait = false;
  // By how much every answer is late.
  Duration answer_delay{0};
  // In a silence no call is answered, and those that are waiting are lost:
  // their connections stay open, but return nothing further.
  void BeginSilence() {
    this->is_silent = true;
    ++this->silences;
  }
  void EndSilence() { this->is_silent = false; }

  // Called with the topic after an append has been accepted, if set.
  std::function<void(const std::string& topic)> appended;

  // Answers every call with this status, when set.
  std::optional<int> refusal;
  int calls = 0;
  // Items that each list of newest records begins with.
  Json extra_items = Json::array();
  // Keys of one page of the newest records.
  std::size_t page_size = 500;

 private:
  // Longer than any test.
  static constexpr Duration kLostAnswerTime = std::chrono::minutes(10);

  // Waits until the read `request` has records to return, or its wait is over.
  void AwaitRecords(const ParsedRequest& request,
                    EventLoop* loop,
                    Coroutine yield) {
    constexpr Duration kPollInterval = std::chrono::milliseconds(2);
    const std::string wait = Parameter(request.target, "wait_ms");
    if (wait.empty()) {
      return;
    }
    const std::vector<std::string>& records =
        this->topics[Parameter(request.target, "topic")];
    // Not waited for: errors are answered at once.
    if (std::stoul(Parameter(request.target, "from")) > records.size() ||
        (this->has_missing_topics && records.empty())) {
      return;
    }
    const std::size_t from = std::stoul(Parameter(request.target, "from"));
    const MonotonicTime deadline =
        loop->Now() + std::chrono::milliseconds(std::stoi(wait));
    while (records.size() <= from && loop->Now() < deadline) {
      loop->Sleep(kPollInterval, yield);
    }
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  SimpleHttpResponse Answer(const ParsedRequest& request) {
    ++this->calls;
    if (this->refusal) {
      return {*this->refusal, ""};
    }
    const std::string topic = Parameter(request.target, "topic");
    const bool is_append = request.target.rfind("/api/log-append", 0) == 0;
    const bool is_newest = request.target.rfind("/api/log-newest", 0) == 0;
    if (!is_append) {
      ++(is_newest ? this->newest_reads : this->reads)[topic];
    }
    if (this->has_missing_topics && !is_append && this->topics[topic].empty()) {
      return {404, ""};
    }
    std::vector<std::string>& records = this->topics[topic];
    if (is_newest) {
      return {200,
              this->Newest(topic, Decode(Parameter(request.target, "after")))};
    }
    if (is_append) {
      const std::string at = Parameter(request.target, "at");
      if (!at.empty() && std::stoul(at) != records.size()) {
        return {412, Json{{"end", records.size()}}.dump()};
      }
      records.push_back(request.body);
      const Json answer{{"offset", records.size() - 1},
                        {"end", records.size()}};
      if (this->appended) {
        this->appended(topic);
      }
      return {200, answer.dump()};
    }
    const std::size_t from = std::stoul(Parameter(request.target, "from"));
    if (from < this->first[topic] || from > records.size()) {
      return {410, Json{{"first", this->first[topic]}}.dump()};
    }
    std::string body =
        BigEndian(records.size()) + BigEndian(this->first[topic]);
    for (std::size_t i = from; i < records.size(); ++i) {
      body += records[i];
    }
    return {200, body};
  }

  // The eight bytes of an offset.
  static std::string BigEndian(std::uint64_t number) {
    constexpr int kHighestByteShift = 56;
    constexpr int kByteBits = 8;
    std::string bytes;
    for (int shift = kHighestByteShift; shift >= 0; shift -= kByteBits) {
      bytes.push_back(static_cast<char>(number >> shift));
    }
    return bytes;
  }

  // Replaces the escapes of a query's value.
  static std::string Decode(const std::string& value) {
    constexpr std::size_t kEscapeDigits = 2;
    constexpr int kHexadecimal = 16;
    std::string text;
    for (std::size_t i = 0; i < value.size(); ++i) {
      if (value[i] == '%') {
        text += static_cast<char>(std::stoi(value.substr(i + 1, kEscapeDigits),
                                            nullptr, kHexadecimal));
        i += kEscapeDigits;
      } else {
        text += value[i];
      }
    }
    return text;
  }

  std::string Newest(const std::string& topic, const std::string& after) {
    std::map<std::string, Json> items;
    std::int64_t offset = 0;
    for (const std::string& bytes : this->topics[topic]) {
      const std::size_t key_size = static_cast<unsigned char>(bytes[4]);
      const std::string key = bytes.substr(5, key_size);
      const std::string value = bytes.substr(5 + key_size);
      if (value.empty()) {
        items.erase(key);
      } else {
        items[key] = Json{
            {"key", key}, {"value", EncodeBase64(value)}, {"offset", offset}};
      }
      ++offset;
    }
    Json list = after.empty() ? this->extra_items : Json::array();
    auto item = after.empty() ? items.begin() : items.upper_bound(after);
    for (; item != items.end() && list.size() < this->page_size; ++item) {
      list.push_back(item->second);
    }
    return Json{
        {"items", list}, {"has_more", item != items.end()}, {"end", offset}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  static std::string EncodeBase64(const std::string& bytes) {
    constexpr char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        const std::size_t at = i + j;
        group = (group << 8) |
                (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text.push_back(i + j <= bytes.size()
                           ? kDigits[(group >> (18 - 6 * j)) & 63]
                           : '=');
      }
    }
    return text;
  }

  const TcpEndpoint address;
  bool is_silent = false;
  int silences = 0;  // Begun so far.
  Topics topics;
  std::map<std::string, std::size_t> first;
  SimpleHttpServer service;
};

}  // namespace kumquatcart

#endif  // FAKES_LOOP_STORE_H_
