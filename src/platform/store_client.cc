#include "platform/store_client.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <boost/beast/core/detail/base64.hpp>

#include "base/json.h"
#include "base/logging.h"
#include "net/http_status.h"
#include "platform/platform_constants.h"
#include "platform/wire_names.h"

namespace kumquatcart {

namespace {

// A store that is up answers in some ten milliseconds, a slow one mostly within
// half a second.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
// Time beyond its wait that a read may take: twice the time that answers have
// taken, within these bounds. A lost read is detected only after it.
constexpr Duration kMinReadSlack = std::chrono::milliseconds(500);
constexpr Duration kMaxReadSlack = std::chrono::milliseconds(8000);
constexpr int kSlackPerAnswerTime = 2;
// Part of the answer time that outlasts an answer that took less.
constexpr int kAnswerTimeDivisor = 2;
constexpr char kWaitParameter[] = "&wait_ms=";
// Largest body asked of one read.
constexpr int kReadKilobytes = 1024;
// While the store refuses this VM, calls go to a relay first, and to the store
// itself once in this time.
constexpr Duration kDirectInterval = std::chrono::seconds(1);
constexpr Duration kMaxIdle = std::chrono::seconds(2);

// Part of an unexpected answer's body that goes into the log.
constexpr std::size_t kLoggedBodyBytes = 80;

constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;

const char* TopicName(StoreTopic topic) {
  constexpr const char* kNames[] = {wire::kOperatorTopic, wire::kServersTopic,
                                    wire::kGroupsTopic, wire::kNodesTopic};
  return kNames[static_cast<int>(topic)];
}

std::uint64_t ReadBigEndian(const std::string& bytes,
                            std::size_t at,
                            std::size_t count) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < count; ++i) {
    number = (number << 8) | static_cast<unsigned char>(bytes[at + i]);
  }
  return number;
}

// None if `text` is not base64.
std::optional<std::string> DecodeBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  // The size that the library states leaves out a last group without padding.
  constexpr std::size_t kGroupBytes = 3;
  std::string bytes(base64::decoded_size(text.size()) + kGroupBytes, '\0');
  const auto [size, read] =
      base64::decode(bytes.data(), text.data(), text.size());
  if (text.find_first_not_of('=', read) != std::string::npos) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

// `key` as a value of a query.
std::string EncodeQueryValue(const std::string& key) {
  std::string encoded;
  for (const char byte : key) {
    const bool is_unreserved =
        (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
        (byte >= 'a' && byte <= 'z') ||
        std::string_view("-._~").find(byte) != std::string_view::npos;
    encoded += is_unreserved
                   ? std::string(1, byte)
                   : fmt::format("%{:02X}", static_cast<unsigned char>(byte));
  }
  return encoded;
}

std::string ReadTarget(StoreTopic topic, std::int64_t from, Duration wait) {
  return fmt::format("{}?topic={}&part=0&from={}&max_kb={}{}{}",
                     wire::kLogReadPath, TopicName(topic), from, kReadKilobytes,
                     kWaitParameter, ToMillis(wait));
}

// How long a call with this target waits at the store; none if it does not say.
std::optional<Duration> WaitOf(const std::string& target) {
  const std::size_t at = target.find(kWaitParameter);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::int64_t wait_ms = 0;
  const char* end = target.data() + target.size();
  std::from_chars(target.data() + at + std::string_view(kWaitParameter).size(),
                  end, wait_ms);
  return std::chrono::milliseconds(wait_ms);
}

OutgoingRequest Get(std::string target) {
  return OutgoingRequest{"GET", std::move(target), {}, {}};
}

Error Unreadable(const std::string& reason) {
  return MakeError(ErrorCode::kInvalidArgument,
                   "the store's answer cannot be read: " + reason);
}

Error CallFailure(const HttpResponse& reply) {
  if (reply.result == ExchangeResult::kTimedOut) {
    return MakeError(ErrorCode::kTimeout, "the store did not answer in time");
  }
  return MakeError(
      ErrorCode::kUnavailable,
      fmt::format("store call: {}, status {} {}", ToString(reply.result),
                  reply.status, reply.body.substr(0, kLoggedBodyBytes)));
}

// Whether a relay may do better.
bool IsRefusal(const HttpResponse& reply) {
  return reply.result != ExchangeResult::kAnswered ||
         reply.status == kHttpServiceUnavailable ||
         reply.status == kHttpTooManyRequests;
}

Result<TopicRecord> DecodeContent(const std::string& body,
                                  std::size_t at,
                                  std::size_t size,
                                  std::int64_t offset) {
  if (size == 0) {
    return Unreadable("a record without a key");
  }
  const std::size_t key_size = static_cast<unsigned char>(body[at]);
  if (1 + key_size > size) {
    return Unreadable("a key beyond its record");
  }
  TopicRecord record;
  record.offset = offset;
  record.key = body.substr(at + 1, key_size);
  if (size > 1 + key_size) {
    record.value = body.substr(at + 1 + key_size, size - 1 - key_size);
  }
  return record;
}

struct NewestPage {
  std::vector<TopicRecord> records;
  std::vector<std::string> unreadable_keys;
  std::string last_key;  // Of an item that may be malformed; the next page
                         // begins after it.
  std::int64_t end = 0;
  bool has_more = false;
};

// Throws Json::exception if `item` is no record.
Result<TopicRecord> DecodeItem(const Json& item) {
  TopicRecord record;
  record.key = item.at("key").get<std::string>();
  record.value = DecodeBase64(item.at("value").get_ref<const std::string&>());
  record.offset = item.at("offset").get<std::int64_t>();
  if (!record.value) {
    return Unreadable("a value that is not base64");
  }
  return record;
}

// Adds the record of `item`, or logs what is malformed: one record must not
// keep back the others.
void AddItem(const Json& item, NewestPage* page) {
  std::string reason;
  std::optional<std::string> key;
  try {
    key = item.at("key").get<std::string>();
    page->last_key = *key;
    Result<TopicRecord> record = DecodeItem(item);
    if (record.has_value()) {
      page->records.push_back(std::move(record.value()));
      return;
    }
    reason = record.error().message;
  } catch (const Json::exception& error) {
    reason = error.what();
  }
  if (key) {
    page->unreadable_keys.push_back(*key);
  }
  LogWarning("record_ignored", {{"key", page->last_key}, {"reason", reason}});
}

Result<NewestPage> DecodeNewestPage(const std::string& body) {
  BOOST_OUTCOME_TRY(json, ParseJson(body));
  NewestPage page;
  try {
    for (const Json& item : json.at("items")) {
      AddItem(item, &page);
    }
    page.end = json.at("end").get<std::int64_t>();
    page.has_more = json.value("has_more", false);
  } catch (const Json::exception& error) {
    return Unreadable(error.what());
  }
  return page;
}

}  // namespace

const char* ToString(StoreTopic topic) {
  constexpr const char* kNames[] = {"operator", "servers", "groups", "nodes"};
  return kNames[static_cast<int>(topic)];
}

std::string ConfigurationKey() {
  return wire::kConfigKey;
}

StoreClient::StoreClient(EventLoop* loop, TcpEndpoint store)
    : loop(loop), store(std::move(store)), client(loop) {
  this->client.SetLateListener([this](const LateResponse& late) {
    this->NoteAnswerTime(late.target, late.elapsed);
    LogInfo("store_answer_late",
            {{"call", late.target},
             {"via", late.endpoint == this->store
                         ? "store"
                         : late.endpoint.address().to_string()},
             {"ms", ToMillis(late.elapsed)},
             {"answer_ms", ToMillis(this->answer_time)}});
  });
}

Duration StoreClient::TimeLimitOf(const std::string& target) const {
  const Duration slack = std::clamp(kSlackPerAnswerTime * this->answer_time,
                                    kMinReadSlack, kMaxReadSlack);
  const std::optional<Duration> wait = WaitOf(target);
  return wait ? *wait + slack : std::max(kCallTimeout, slack);
}

void StoreClient::NoteAnswerTime(const std::string& target, Duration elapsed) {
  const Duration wait = WaitOf(target).value_or(Duration{0});
  if (wait > Duration{0} && elapsed <= wait) {
    return;  // A record came meanwhile; how long its answer took is unknown.
  }
  this->answer_time =
      std::max(elapsed - wait, this->answer_time / kAnswerTimeDivisor);
}

bool StoreClient::IsStoreCall(const std::string& target) {
  return target.rfind(wire::kLogReadPath, 0) == 0 ||
         target.rfind(wire::kLogNewestPath, 0) == 0 ||
         target.rfind(wire::kLogAppendPath, 0) == 0;
}

HttpResponse StoreClient::Send(const TcpEndpoint& endpoint,
                               const OutgoingRequest& request,
                               Coroutine yield) {
  const MonotonicTime sent_at = this->loop->Now();
  const MonotonicTime deadline = sent_at + this->TimeLimitOf(request.target);
  HttpResponse reply =
      request.method == "GET"
          ? this->client.Exchange(endpoint, request, deadline, kMaxIdle, yield)
          : this->client.ExchangeOnNewConnection(endpoint, request, deadline,
                                                 yield);
  // An answer that is read after its deadline has waited for this process.
  const MonotonicTime now = this->loop->Now();
  if (reply.result == ExchangeResult::kAnswered && request.method == "GET" &&
      now <= deadline) {
    this->NoteAnswerTime(request.target, now - sent_at);
  }
  if (IsRefusal(reply)) {
    LogWarning(
        "store_call_failed",
        {{"call", request.target},
         {"via",
          endpoint == this->store ? "store" : endpoint.address().to_string()},
         {"kept_connection", reply.on_kept_connection ? 1 : 0},
         {"abandoned", reply.was_abandoned ? 1 : 0},
         {"result", ToString(reply.result)},
         {"status", reply.status},
         {"ms", ToMillis(this->loop->Now() - sent_at)}});
  }
  return reply;
}

HttpResponse StoreClient::PassOn(const OutgoingRequest& request,
                                 Coroutine yield) {
  const MonotonicTime sent_at = this->loop->Now();
  HttpResponse reply = this->Send(this->store, request, yield);
  this->NoteReachability(reply, sent_at);
  return reply;
}

void StoreClient::NoteReachability(const HttpResponse& reply,
                                   MonotonicTime sent_at) {
  if (!IsRefusal(reply)) {
    this->answered_call_sent_at =
        std::max(this->answered_call_sent_at, sent_at);
    if (!this->reachable) {
      this->reachable = true;
      LogInfo("store_regained");
      if (std::exchange(this->was_silent, false)) {
        this->AbandonReads(sent_at);
      }
    }
    return;
  }
  if (reply.was_abandoned) {
    return;
  }
  if (reply.result == ExchangeResult::kTimedOut) {
    // Others that were sent about as early share its fate.
    this->AbandonReads(this->loop->Now() - kCallTimeout);
  }
  if (sent_at < this->answered_call_sent_at) {
    return;
  }
  this->was_silent =
      this->was_silent || reply.result == ExchangeResult::kTimedOut;
  if (this->reachable) {
    this->reachable = false;
    LogWarning("store_lost",
               {{"result", ToString(reply.result)}, {"status", reply.status}});
  }
}

void StoreClient::AbandonReads(MonotonicTime sent_before) {
  const int count = this->client.AbandonReads(sent_before);
  if (count > 0) {
    LogInfo("store_reads_abandoned", {{"count", count}});
  }
}

HttpResponse StoreClient::Call(const StoreCall& call, Coroutine yield) {
  const bool asks_relay_first =
      !this->reachable && this->loop->Now() - this->direct_at < kDirectInterval;
  bool relay_refused = false;
  if (asks_relay_first) {
    std::optional<HttpResponse> relayed = this->CallRelay(call.request, yield);
    if (relayed && !IsRefusal(*relayed)) {
      return *std::move(relayed);
    }
    relay_refused = relayed.has_value();
  }
  this->direct_at = this->loop->Now();
  HttpResponse reply =
      this->PassOn(this->reachable ? call.request : call.without_wait, yield);
  if (!IsRefusal(reply) || relay_refused || this->reachable) {
    return reply;
  }
  std::optional<HttpResponse> relayed =
      this->CallRelay(call.without_wait, yield);
  return !relayed || IsRefusal(*relayed) ? reply : *std::move(relayed);
}

std::optional<HttpResponse> StoreClient::CallRelay(
    const OutgoingRequest& request,
    Coroutine yield) {
  const std::vector<TcpEndpoint> relays =
      this->list_relays ? this->list_relays() : std::vector<TcpEndpoint>();
  if (relays.empty()) {
    return std::nullopt;
  }
  const TcpEndpoint& relay = relays[this->next_relay++ % relays.size()];
  return this->Send(relay, request, yield);
}

Result<TopicBatch> StoreClient::ReadNewest(StoreTopic topic, Coroutine yield) {
  TopicBatch batch;
  batch.other_keys.emplace();
  std::string after;
  for (bool first = true, more = true; more; first = false) {
    std::string target = fmt::format("{}?topic={}&part=0", wire::kLogNewestPath,
                                     TopicName(topic));
    if (!first) {
      target += "&after=" + EncodeQueryValue(after);
    }
    const HttpResponse reply = this->Call(Get(std::move(target)), yield);
    if (first && reply.HasResponseStatus(kHttpNotFound)) {
      return batch;  // Nobody has written to the topic yet.
    }
    if (!reply.HasResponseStatus(kHttpOk)) {
      return CallFailure(reply);
    }
    const LoopStep step(this->loop->Monitor(), "decode_records",
                        ToString(topic));
    BOOST_OUTCOME_TRY(page, DecodeNewestPage(reply.body));
    if (first) {
      batch.end = page.end;
    }
    if (page.has_more && (page.last_key.empty() || page.last_key == after)) {
      return Unreadable("a page after which none can be requested");
    }
    more = page.has_more;
    after = page.last_key;
    batch.other_keys->insert(batch.other_keys->end(),
                             page.unreadable_keys.begin(),
                             page.unreadable_keys.end());
    for (TopicRecord& record : page.records) {
      batch.records.push_back(std::move(record));
    }
  }
  return batch;
}

Result<TopicBatch> StoreClient::ReadSince(StoreTopic topic,
                                          std::int64_t from,
                                          Duration wait,
                                          Coroutine yield) {
  const HttpResponse reply =
      this->Call(StoreCall{Get(ReadTarget(topic, from, wait)),
                           Get(ReadTarget(topic, from, Duration{0}))},
                 yield);
  if (reply.HasResponseStatus(kHttpGone)) {
    return MakeError(ErrorCode::kExpired, "the records were dropped");
  }
  if (reply.HasResponseStatus(kHttpNotFound)) {
    return TopicBatch{{}, from};
  }
  if (!reply.HasResponseStatus(kHttpOk)) {
    return CallFailure(reply);
  }
  const LoopStep step(this->loop->Monitor(), "decode_records", ToString(topic));
  return DecodeRecords(reply.body, from);
}

Result<std::int64_t> StoreClient::Append(StoreTopic topic,
                                         const std::string& key,
                                         const std::string& value,
                                         std::optional<std::int64_t> at,
                                         Coroutine yield) {
  OutgoingRequest request;
  request.method = "POST";
  request.target =
      fmt::format("{}?topic={}&part=0", wire::kLogAppendPath, TopicName(topic));
  if (at) {
    request.target += fmt::format("&at={}", *at);
  }
  request.body = EncodeRecord(key, value);
  const HttpResponse reply = this->Call(request, yield);
  if (reply.HasResponseStatus(kHttpPreconditionFailed)) {
    return MakeError(ErrorCode::kConflict, "the topic ends elsewhere");
  }
  if (reply.HasResponseStatus(kHttpOk)) {
    BOOST_OUTCOME_TRY(json, ParseJson(reply.body));
    const auto offset = json.find("offset");
    if (offset == json.end() || !offset->is_number_integer()) {
      return MakeError(ErrorCode::kUnknown, "an append without an offset");
    }
    return offset->get<std::int64_t>();
  }
  const bool surely_not_done = reply.result == ExchangeResult::kNotSent ||
                               reply.result == ExchangeResult::kAnswered;
  return MakeError(
      surely_not_done ? ErrorCode::kUnavailable : ErrorCode::kUnknown,
      fmt::format("append: {}, status {}", ToString(reply.result),
                  reply.status));
}

Result<TopicBatch> DecodeRecords(const std::string& body, std::int64_t from) {
  if (body.size() < 2 * kOffsetBytes) {
    return Unreadable("no offsets");
  }
  TopicBatch batch;
  batch.end = from;
  std::size_t at = 2 * kOffsetBytes;
  while (at < body.size()) {
    if (at + kLengthBytes > body.size()) {
      return Unreadable("a cut length");
    }
    const std::size_t size = ReadBigEndian(body, at, kLengthBytes);
    at += kLengthBytes;
    if (size > body.size() - at) {
      return Unreadable("a cut record");
    }
    Result<TopicRecord> record = DecodeContent(body, at, size, batch.end);
    if (record.has_value()) {
      batch.records.push_back(std::move(record.value()));
    } else {
      LogWarning("record_ignored",
                 {{"offset", batch.end}, {"reason", record.error().message}});
    }
    at += size;
    ++batch.end;
  }
  return batch;
}

std::string EncodeRecord(const std::string& key, const std::string& value) {
  const std::size_t size = 1 + key.size() + value.size();
  std::string bytes;
  bytes.reserve(kLengthBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((size >> shift) & 0xFF));
  }
  bytes.push_back(static_cast<char>(key.size()));
  bytes += key;
  bytes += value;
  return bytes;
}

}  // namespace kumquatcart
