#include "soak/store_stand_in.h"

#include <algorithm>

#include "base/json.h"
#include "net/http_status.h"

namespace kumquatcart::soak {

namespace {

// How often a waiting read looks for records.
constexpr Duration kPoll = std::chrono::milliseconds(5);
// A call whose answer is lost holds its connection for this long.
constexpr Duration kLostAnswer = std::chrono::seconds(10);

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text.push_back(static_cast<char>(number >> (8 * i)));
  }
  return text;
}

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t at = i; at < i + 3; ++at) {
      group = (group << 8) |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(
          i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=');
    }
  }
  return text;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
  while (at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    at = end + 1;
  }
  return query;
}

std::int64_t NumberIn(const std::map<std::string, std::string>& query,
                      const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? 0 : std::stoll(found->second);
}

bool IsAppend(const ParsedRequest& request) {
  return request.target.rfind("/api/log-append", 0) == 0;
}

}  // namespace

const char* ToString(StoreFault fault) {
  constexpr const char* kNames[] = {"none", "refuses", "silent",
                                    "loses_answers"};
  return kNames[static_cast<int>(fault)];
}

StoreStandIn::StoreStandIn(EventLoop* loop, bool names_era)
    : loop(loop),
      names_era(names_era),
      service(loop, [this](const ParsedRequest& request, Coroutine yield) {
        return this->Answer(request, yield);
      }) {}

void StoreStandIn::Put(const std::string& topic,
                       const std::string& key,
                       const std::optional<std::string>& value) {
  this->topics[topic].push_back({key, value, this->loop->Now()});
}

void StoreStandIn::SetFault(StoreFault next) {
  this->silences += next == StoreFault::kSilent ? 1 : 0;
  this->fault = next;
  this->changed_at = this->loop->Now();
}

void StoreStandIn::SetAway(bool next) {
  this->away = next;
  this->changed_at = this->loop->Now();
}

StoreStandIn::Topics StoreStandIn::RollBack(Duration age) {
  const MonotonicTime copied_at = this->loop->Now() - age;
  Topics lost;
  for (auto& [topic, records] : this->topics) {
    const auto first = std::find_if(records.begin(), records.end(),
                                    [copied_at](const StoreRecord& record) {
                                      return record.written_at > copied_at;
                                    });
    lost[topic].assign(first, records.end());
    records.erase(first, records.end());
  }
  ++this->era;
  return lost;
}

SimpleHttpResponse StoreStandIn::Answer(const ParsedRequest& request,
                                        Coroutine yield) {
  this->calls.Note(this->loop->Now());
  const int silences_before = this->silences;
  const bool is_lost = this->fault == StoreFault::kSilent;
  SimpleHttpResponse answer =
      is_lost ? SimpleHttpResponse{} : this->Handle(request, yield);
  if (this->names_era) {
    answer.headers.push_back({"Store-Era", std::to_string(this->era)});
  }
  const bool loses_answer = this->fault == StoreFault::kLosesAnswers &&
                            answer.status != kHttpServiceUnavailable &&
                            IsAppend(request);
  if (is_lost || loses_answer || this->silences != silences_before) {
    this->loop->Sleep(kLostAnswer, yield);
  }
  return answer;
}

SimpleHttpResponse StoreStandIn::Handle(const ParsedRequest& request,
                                        Coroutine yield) {
  if (this->fault == StoreFault::kRefuses || this->away) {
    return {kHttpServiceUnavailable, ""};
  }
  const Query query = ParseQuery(request.target);
  if (IsAppend(request)) {
    return this->Append(query, request.body);
  }
  if (request.target.rfind("/api/log-newest", 0) == 0) {
    return this->Newest(query);
  }
  if (request.target.rfind("/api/log-read", 0) == 0) {
    return this->Read(query, yield);
  }
  return {kHttpNotFound, ""};
}

SimpleHttpResponse StoreStandIn::Append(const Query& query,
                                        const std::string& body) {
  std::vector<StoreRecord>& records = this->topics[query.at("topic")];
  const auto at = query.find("at");
  if (at != query.end() &&
      std::stoll(at->second) != static_cast<std::int64_t>(records.size())) {
    return {kHttpPreconditionFailed, Json{{"end", records.size()}}.dump()};
  }
  constexpr std::size_t kHead = 5;  // Four bytes of length, one of the key's.
  if (body.size() < kHead) {
    return {kHttpBadRequest, ""};
  }
  const std::size_t key_size = static_cast<unsigned char>(body[kHead - 1]);
  StoreRecord record{body.substr(kHead, key_size), std::nullopt,
                     this->loop->Now()};
  if (body.size() > kHead + key_size) {
    record.value = body.substr(kHead + key_size);
  }
  records.push_back(std::move(record));
  return {kHttpOk,
          Json{{"offset", records.size() - 1}, {"end", records.size()}}.dump()};
}

SimpleHttpResponse StoreStandIn::Read(const Query& query, Coroutine yield) {
  const std::vector<StoreRecord>& records = this->topics[query.at("topic")];
  const auto from = static_cast<std::size_t>(NumberIn(query, "from"));
  const MonotonicTime until =
      this->loop->Now() + std::chrono::milliseconds(NumberIn(query, "wait_ms"));
  if (from > records.size()) {
    return {kHttpGone, Json{{"first", 0}}.dump()};
  }
  const std::int64_t era_before = this->era;
  while (records.size() <= from && this->loop->Now() < until) {
    this->loop->Sleep(kPoll, yield);
    if (this->away || this->era != era_before) {
      return {kHttpServiceUnavailable, ""};
    }
  }
  std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    const std::string content = BigEndian(records[i].key.size(), 1) +
                                records[i].key +
                                records[i].value.value_or(std::string());
    body += BigEndian(content.size(), 4) + content;
  }
  return {kHttpOk, body};
}

SimpleHttpResponse StoreStandIn::Newest(const Query& query) {
  std::map<std::string, Json> items;
  const std::vector<StoreRecord>& records = this->topics[query.at("topic")];
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (records[i].value) {
      items[records[i].key] = Json{{"key", records[i].key},
                                   {"value", EncodeBase64(*records[i].value)},
                                   {"offset", i}};
    } else {
      items.erase(records[i].key);
    }
  }
  Json list = Json::array();
  for (auto& item : items) {
    list.push_back(std::move(item.second));
  }
  return {kHttpOk,
          Json{{"items", list}, {"has_more", false}, {"end", records.size()}}
              .dump()};
}

}  // namespace kumquatcart::soak
