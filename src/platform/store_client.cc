#include "platform/store_client.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <boost/beast/core/detail/base64.hpp>

#include "base/json.h"
#include "base/logging.h"
#include "base/scope_guard.h"
#include "net/failure_boundary.h"
#include "net/http_status.h"
#include "platform/platform_constants.h"
#include "platform/wire_names.h"

namespace kumquatcart {

namespace {

// A store that is up answers in some ten milliseconds, a slow one within half a
// second.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
// Time beyond its wait that a waiting read may take.
constexpr Duration kReadSlack = std::chrono::milliseconds(500);
// Longest time for which a read goes on, so that a store that answers late is
// read too, and bound on the reads that do so. A silent one has some 27 in
// progress: one in 1.5 s for each topic, and the same at a relay.
constexpr Duration kLateReadTime = std::chrono::seconds(5);
constexpr int kMaxLateReads = 32;
constexpr char kWaitParameter[] = "&wait_ms=";
// Largest body asked of one read.
constexpr int kReadKilobytes = 1024;
// While the store refuses this VM, calls go to a relay first, and to the store
// itself once in this time.
constexpr Duration kDirectInterval = std::chrono::seconds(1);
constexpr Duration kMaxIdle = std::chrono::seconds(2);

// Rate of calls, and for how long unused calls are saved up: a planner writes
// the records of all groups of its domains at once, with a read after each.
constexpr double kCallsPerSecond = 50;
constexpr Duration kCallBurst = std::chrono::seconds(6);
// Shortest time between log lines of answers that were dropped, and of calls
// that were delayed.
constexpr Duration kRepeatedLogInterval = std::chrono::seconds(1);
// Nearly 32 years of a change each second; far below where numbers derived from
// an era would overflow.
constexpr StoreEra kMaxEra = 1'000'000'000;

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

// Longest time that a call with this target takes.
Duration TimeLimitOf(const std::string& target) {
  const std::size_t at = target.find(kWaitParameter);
  if (at == std::string::npos) {
    return kCallTimeout;
  }
  std::int64_t wait_ms = 0;
  const char* end = target.data() + target.size();
  std::from_chars(target.data() + at + std::string_view(kWaitParameter).size(),
                  end, wait_ms);
  return std::chrono::milliseconds(wait_ms) + kReadSlack;
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

std::optional<std::string> EvacuatedDomainOf(const std::string& key) {
  const std::string prefix = wire::kEvacuationKeyPrefix;
  return key.rfind(prefix, 0) == 0 ? std::optional(key.substr(prefix.size()))
                                   : std::nullopt;
}

StoreClient::StoreClient(EventLoop* loop, TcpEndpoint store)
    : loop(loop),
      store(std::move(store)),
      client(loop),
      dropped_answers(kRepeatedLogInterval),
      call_rate(kCallsPerSecond, kCallBurst, loop->Now()),
      delayed_calls(kRepeatedLogInterval) {}

bool StoreClient::IsStoreCall(const std::string& target) {
  return target.rfind(wire::kLogReadPath, 0) == 0 ||
         target.rfind(wire::kLogNewestPath, 0) == 0 ||
         target.rfind(wire::kLogAppendPath, 0) == 0;
}

// A read that goes on when its caller no longer waits for it.
struct StoreClient::PendingRead {
  MonotonicTime sent_at;
  StoreEra sent_in = 0;
  Waiter* caller = nullptr;  // Null once the caller no longer waits.
  std::optional<HttpResponse> reply;
  bool is_abandoned = false;
};

StoreClient::StoreReply StoreClient::SendRead(const TcpEndpoint& endpoint,
                                              const OutgoingRequest& request,
                                              MonotonicTime deadline,
                                              const HandleLate& handle_late,
                                              Coroutine yield) {
  Waiter waiter(this->loop);
  const auto read = std::make_shared<PendingRead>();
  read->sent_at = this->loop->Now();
  read->sent_in = this->era;
  read->caller = &waiter;
  this->awaited_reads.insert(read.get());
  const ScopeGuard guard([this, &read] {
    this->awaited_reads.erase(read.get());
    read->caller = nullptr;
  });
  const bool goes_on =
      handle_late != nullptr && this->reads_in_progress < kMaxLateReads;
  const MonotonicTime end =
      goes_on ? std::max(deadline, read->sent_at + kLateReadTime) : deadline;
  this->loop->Spawn(
      [this, read, endpoint, request, end, handle_late](Coroutine inner) {
        ++this->reads_in_progress;
        const ScopeGuard count([this] { --this->reads_in_progress; });
        read->reply =
            this->client.Exchange(endpoint, request, end, kMaxIdle, inner);
        if (read->caller != nullptr) {
          read->caller->Notify();
        } else {
          this->HandleLateAnswer(request, read.get(), handle_late);
        }
      });
  while (!read->reply && !read->is_abandoned &&
         waiter.WaitUntil(deadline, yield)) {
  }
  if (!read->reply && !read->is_abandoned) {
    this->loop->Yield(yield);  // The answer may be there, and unread.
  }
  StoreReply reply;
  if (read->reply) {
    reply.response = *read->reply;
    return reply;
  }
  reply.response.result = read->is_abandoned ? ExchangeResult::kNoAnswer
                                             : ExchangeResult::kTimedOut;
  reply.was_abandoned = read->is_abandoned;
  return reply;
}

void StoreClient::HandleLateAnswer(const OutgoingRequest& request,
                                   PendingRead* read,
                                   const HandleLate& handle_late) {
  if (handle_late == nullptr || !read->reply->HasResponseStatus(kHttpOk)) {
    return;
  }
  StoreReply reply;
  reply.response = *std::move(read->reply);
  this->CheckEra(read->sent_in, &reply);
  if (!reply.response.HasResponseStatus(kHttpOk)) {
    return;
  }
  LogInfo("store_answer_late",
          {{"call", request.target},
           {"ms", ToMillis(this->loop->Now() - read->sent_at)}});
  ContainFailure(this->loop, "late_read",
                 [&] { handle_late(reply.response.body, reply.era); });
}

void StoreClient::CheckEra(StoreEra sent_in, StoreReply* reply) {
  HttpResponse& response = reply->response;
  reply->era = this->era;
  if (response.result != ExchangeResult::kAnswered) {
    return;
  }
  const Result<std::optional<StoreEra>> stated =
      DecodeStoreEra(response.headers);
  const bool is_stated = stated.has_value() && stated.value().has_value();
  if (IsRefusal(response) && !is_stated) {
    return;  // A peer or the platform may refuse a call for the store.
  }
  if (stated.has_error()) {
    this->DropAnswer(stated.error().message, &response);
  } else if (is_stated) {
    this->states_era = true;
    if (*stated.value() < this->era) {
      this->DropAnswer(
          fmt::format("era {} after {}", *stated.value(), this->era),
          &response);
    } else if (*stated.value() > this->era) {
      this->AdoptEra(*stated.value(), "store");
    }
  } else if (this->states_era) {
    this->DropAnswer("no era", &response);
  } else if (sent_in != this->era) {
    this->DropAnswer("sent in an earlier era", &response);
  }
  this->knows_era =
      this->knows_era || response.result == ExchangeResult::kAnswered;
  reply->era = this->era;
}

void StoreClient::DropAnswer(const std::string& reason,
                             HttpResponse* response) {
  if (const auto suppressed = this->dropped_answers.Pass(this->loop->Now())) {
    LogWarning("store_answer_dropped", {{"reason", reason},
                                        {"status", response->status},
                                        {"suppressed", *suppressed}});
  }
  *response = HttpResponse();
  response->result = ExchangeResult::kNoAnswer;
}

void StoreClient::AdoptEra(StoreEra later, const char* source) {
  const bool is_first = !std::exchange(this->knows_era, true);
  LogInfo("store_era_changed",
          {{"from", this->era}, {"to", later}, {"source", source}});
  this->era = later;
  if (this->metrics != nullptr) {
    this->metrics->GetGauge("kumquatcart_store_era")
        .Set(static_cast<double>(later));
    this->metrics->GetCounter("kumquatcart_store_era_changes_total")
        .Add(is_first ? 0 : 1);
  }
  if (is_first) {
    return;
  }
  this->era_changed_at = this->loop->Now();
  // What is awaited continues a lost history.
  this->AbandonReads(MonotonicTime::max());
  if (this->notify_era) {
    this->notify_era();
  }
}

void StoreClient::NotePeerEra(StoreEra peer_era) {
  if (peer_era > this->era && peer_era <= kMaxEra) {
    this->AdoptEra(peer_era, "peer");
  }
}

bool StoreClient::NoteLostRecords(StoreEra known) {
  if (!this->states_era && this->era == known) {
    this->AdoptEra(known + 1, "end");
  }
  return this->era > known;
}

HeaderList StoreClient::FieldsToPassOn(const HttpResponse& reply) {
  HeaderList fields;
  const std::string_view era = FindHeader(reply.headers, wire::kStoreEra);
  if (!era.empty()) {
    fields.push_back({wire::kStoreEra, std::string(era)});
  }
  return fields;
}

void StoreClient::TakeLateBatch(StoreTopic topic,
                                const Result<TopicBatch>& batch) const {
  const auto taker = this->late_takers.find(topic);
  if (taker != this->late_takers.end() && batch.has_value()) {
    taker->second(batch.value());
  }
}

StoreClient::StoreReply StoreClient::Send(const TcpEndpoint& endpoint,
                                          const OutgoingRequest& request,
                                          const HandleLate& handle_late,
                                          Coroutine yield) {
  const MonotonicTime sent_at = this->loop->Now();
  const MonotonicTime deadline = sent_at + TimeLimitOf(request.target);
  StoreReply reply;
  if (request.method == "GET") {
    reply = this->SendRead(endpoint, request, deadline, handle_late, yield);
  } else {
    reply.response = this->client.ExchangeOnNewConnection(endpoint, request,
                                                          deadline, yield);
  }
  const HttpResponse& response = reply.response;
  this->CountCall(request, response);
  if (IsRefusal(response)) {
    LogWarning(
        "store_call_failed",
        {{"call", request.target},
         {"via",
          endpoint == this->store ? "store" : endpoint.address().to_string()},
         {"kept_connection", response.on_kept_connection ? 1 : 0},
         {"abandoned", reply.was_abandoned ? 1 : 0},
         {"result", ToString(response.result)},
         {"status", response.status},
         {"ms", ToMillis(this->loop->Now() - sent_at)}});
  }
  return reply;
}

void StoreClient::CountCall(const OutgoingRequest& request,
                            const HttpResponse& response) const {
  if (this->metrics == nullptr) {
    return;
  }
  const std::string kind = request.target.substr(0, request.target.find('?'));
  const std::string result = response.result == ExchangeResult::kAnswered
                                 ? std::to_string(response.status)
                                 : ToString(response.result);
  this->metrics
      ->GetCounter("kumquatcart_store_calls_total",
                   {{"call", kind}, {"result", result}})
      .Add();
}

HttpResponse StoreClient::PassOn(const OutgoingRequest& request,
                                 Coroutine yield) {
  return this->CallDirectly(request, /*handle_late=*/nullptr, yield).response;
}

StoreClient::StoreReply StoreClient::CallDirectly(
    const OutgoingRequest& request,
    const HandleLate& handle_late,
    Coroutine yield) {
  const MonotonicTime sent_at = this->loop->Now();
  const StoreEra sent_in = this->era;
  StoreReply reply = this->Send(this->store, request, handle_late, yield);
  this->NoteReachability(reply, sent_at);
  this->CheckEra(sent_in, &reply);
  return reply;
}

void StoreClient::NoteReachability(const StoreReply& reply,
                                   MonotonicTime sent_at) {
  if (!IsRefusal(reply.response)) {
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
  if (reply.response.result == ExchangeResult::kTimedOut) {
    // Others that were sent about as early share its fate.
    this->AbandonReads(this->loop->Now() - kCallTimeout);
  }
  if (sent_at < this->answered_call_sent_at) {
    return;
  }
  this->was_silent =
      this->was_silent || reply.response.result == ExchangeResult::kTimedOut;
  if (this->reachable) {
    this->reachable = false;
    LogWarning("store_lost", {{"result", ToString(reply.response.result)},
                              {"status", reply.response.status}});
  }
}

void StoreClient::AbandonReads(MonotonicTime sent_before) {
  int count = 0;
  for (PendingRead* read : this->awaited_reads) {
    if (read->sent_at < sent_before && !read->reply && !read->is_abandoned) {
      read->is_abandoned = true;
      read->caller->Notify();
      ++count;
    }
  }
  if (count > 0) {
    LogInfo("store_reads_abandoned", {{"count", count}});
  }
}

void StoreClient::AwaitCallRate(Coroutine yield) {
  while (!this->call_rate.HasCredit(this->loop->Now())) {
    const Duration pause = this->call_rate.TimeUntilCredit(this->loop->Now());
    if (const auto suppressed = this->delayed_calls.Pass(this->loop->Now())) {
      LogWarning("store_call_delayed",
                 {{"ms", ToMillis(pause)}, {"suppressed", *suppressed}});
    }
    this->loop->Sleep(pause, yield);
  }
  this->call_rate.Spend(1, this->loop->Now());
}

StoreClient::StoreReply StoreClient::Call(const StoreCall& call,
                                          Coroutine yield) {
  this->AwaitCallRate(yield);
  const bool asks_relay_first =
      !this->reachable && this->loop->Now() - this->direct_at < kDirectInterval;
  bool relay_refused = false;
  if (asks_relay_first) {
    std::optional<StoreReply> relayed =
        this->CallRelay(call.request, call.handle_late, yield);
    if (relayed && !IsRefusal(relayed->response)) {
      return *std::move(relayed);
    }
    relay_refused = relayed.has_value();
  }
  this->direct_at = this->loop->Now();
  StoreReply reply =
      this->CallDirectly(this->reachable ? call.request : call.without_wait,
                         call.handle_late, yield);
  if (!IsRefusal(reply.response) || relay_refused || this->reachable) {
    return reply;
  }
  std::optional<StoreReply> relayed =
      this->CallRelay(call.without_wait, call.handle_late, yield);
  return !relayed || IsRefusal(relayed->response) ? reply : *std::move(relayed);
}

std::optional<StoreClient::StoreReply> StoreClient::CallRelay(
    const OutgoingRequest& request,
    const HandleLate& handle_late,
    Coroutine yield) {
  const std::vector<TcpEndpoint> relays =
      this->list_relays ? this->list_relays() : std::vector<TcpEndpoint>();
  if (relays.empty()) {
    return std::nullopt;
  }
  const TcpEndpoint& relay = relays[this->next_relay++ % relays.size()];
  const StoreEra sent_in = this->era;
  StoreReply reply = this->Send(relay, request, handle_late, yield);
  this->CheckEra(sent_in, &reply);
  return reply;
}

Result<TopicBatch> StoreClient::ReadNewest(StoreTopic topic, Coroutine yield) {
  TopicBatch batch;
  batch.other_keys.emplace();
  // Only a topic of one page is whole with a late answer.
  const HandleLate handle_late = [this, topic](const std::string& body,
                                               StoreEra answer_era) {
    const Result<NewestPage> page = DecodeNewestPage(body);
    if (page.has_value() && !page.value().has_more) {
      this->TakeLateBatch(topic,
                          TopicBatch{page.value().records, page.value().end,
                                     page.value().unreadable_keys, answer_era});
    }
  };
  std::string after;
  for (bool first = true, more = true; more; first = false) {
    std::string target = fmt::format("{}?topic={}&part=0", wire::kLogNewestPath,
                                     TopicName(topic));
    if (!first) {
      target += "&after=" + EncodeQueryValue(after);
    }
    const OutgoingRequest request = Get(std::move(target));
    const StoreReply answer = this->Call(
        {request, request, first ? handle_late : HandleLate()}, yield);
    const HttpResponse& reply = answer.response;
    if (first) {
      batch.era = answer.era;
    }
    if (first && reply.HasResponseStatus(kHttpNotFound)) {
      return batch;  // Nobody has written to the topic yet.
    }
    if (!reply.HasResponseStatus(kHttpOk)) {
      return CallFailure(reply);
    }
    if (answer.era != batch.era) {
      return MakeError(ErrorCode::kUnavailable,
                       "the store's era changed between two pages");
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
  const StoreEra sent_in = this->era;
  const StoreReply answer = this->Call(
      {Get(ReadTarget(topic, from, wait)),
       Get(ReadTarget(topic, from, Duration{0})),
       [this, topic, from, sent_in](const std::string& body,
                                    StoreEra answer_era) {
         if (answer_era == sent_in) {
           this->TakeLateBatch(topic, DecodeRecords(body, from, answer_era));
         }
       }},
      yield);
  const HttpResponse& reply = answer.response;
  if (reply.HasResponseStatus(kHttpGone)) {
    return MakeError(ErrorCode::kExpired,
                     fmt::format("the store answers {}, era \"{}\"",
                                 reply.body.substr(0, kLoggedBodyBytes),
                                 FindHeader(reply.headers, wire::kStoreEra)));
  }
  if (reply.HasResponseStatus(kHttpNotFound) && from > 0) {
    return MakeError(ErrorCode::kExpired, "the store has no such topic");
  }
  if (reply.HasResponseStatus(kHttpNotFound)) {
    return TopicBatch{{}, 0, std::nullopt, answer.era};
  }
  if (!reply.HasResponseStatus(kHttpOk)) {
    return CallFailure(reply);
  }
  const LoopStep step(this->loop->Monitor(), "decode_records", ToString(topic));
  return DecodeRecords(reply.body, from, answer.era);
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
  const HttpResponse reply = this->Call({request, request}, yield).response;
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

Result<std::optional<StoreEra>> DecodeStoreEra(const HeaderList& headers) {
  const std::string_view text = FindHeader(headers, wire::kStoreEra);
  if (text.empty()) {
    return std::optional<StoreEra>();
  }
  StoreEra era = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), era);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      era < 0 || era > kMaxEra) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("era \"{}\"", text.substr(0, kLoggedBodyBytes)));
  }
  return std::optional(era);
}

Result<TopicBatch> DecodeRecords(const std::string& body,
                                 std::int64_t from,
                                 StoreEra era) {
  if (body.size() < 2 * kOffsetBytes) {
    return Unreadable("no offsets");
  }
  TopicBatch batch;
  batch.era = era;
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
