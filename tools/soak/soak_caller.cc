#include "soak/soak_caller.h"

#include <algorithm>
#include <functional>

#include <fmt/format.h>

#include "net/http_status.h"
#include "soak/expected_answer.h"

namespace kumquatcart::soak {

namespace {

constexpr Duration kPatience = std::chrono::seconds(3);
// Beyond the patience that the request states: the answer's way back.
constexpr Duration kSlack = std::chrono::milliseconds(500);
constexpr Duration kThinking = std::chrono::milliseconds(40);
// Pause of a caller whose prompts crash servers.
constexpr Duration kCrashInterval = std::chrono::milliseconds(150);
// One request in so many is given up midway.
constexpr int kLeavesOneIn = 25;
// Share of the idle timeout; the rest of it is for the way of the request.
constexpr double kLongestRest = 0.8;
// Requests that meet the close of a shorter timeout come this close to it.
constexpr int kOffByUs = 2000;
// One request in so many is sent with HTTP/1.0, where versions vary.
constexpr int kOldVersionOneIn = 4;
constexpr Duration kLeavesAfter = std::chrono::milliseconds(60);

const char* PathOf(RequestKind kind) {
  constexpr const char* kPaths[] = {"/once/", "/again/", "/stream/"};
  return kPaths[static_cast<int>(kind)];
}

const char* ServiceOf(RequestKind kind) {
  return kind == RequestKind::kStream ? kModelService : kPlainService;
}

bool PromisesNotRun(int status) {
  return status == kHttpTooManyRequests || status == kHttpServiceUnavailable ||
         status == kHttpRequestTimeout || status == kHttpMisdirectedRequest;
}

std::string ToHttp10(std::string request) {
  constexpr std::string_view kVersion = "HTTP/1.1";
  return request.replace(request.find(kVersion), kVersion.size(), "HTTP/1.0");
}

// The events of a stream with lines that end with LF, whatever they end with.
std::string WithUniformLineEnds(const std::string& stream) {
  std::string text;
  for (std::size_t i = 0; i < stream.size(); ++i) {
    if (stream[i] != '\r') {
      text += stream[i];
    } else if (i + 1 == stream.size() || stream[i + 1] != '\n') {
      text += '\n';
    }
  }
  return text;
}

std::string ExpectedStream(const std::string& id) {
  std::string text;
  for (int event = 1; event <= kStreamEvents; ++event) {
    text +=
        fmt::format("id: {}\ndata: {}\n\n", event, ExpectedEvent(id, event));
  }
  return text;
}

}  // namespace

SoakCaller::SoakCaller(EventLoop* loop,
                       RunLedger* ledger,
                       std::string name,
                       std::uint64_t seed,
                       CallerRules rules)
    : loop(loop),
      ledger(ledger),
      name(std::move(name)),
      generator(
          static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      rules(std::move(rules)),
      waiter(loop) {}

RequestKind SoakCaller::PickKind() {
  if (this->rules.crashes_servers) {
    return RequestKind::kStream;
  }
  return static_cast<RequestKind>(
      std::uniform_int_distribution<int>(0, 2)(this->generator));
}

Duration SoakCaller::PickPatience() {
  const bool leaves =
      std::uniform_int_distribution<int>(1, kLeavesOneIn)(this->generator) == 1;
  if (this->rules.leaves_after > Duration{0}) {
    return this->rules.leaves_after;
  }
  return leaves ? kLeavesAfter : kPatience + kSlack;
}

std::string SoakCaller::DescribePrompt(const std::string& id) const {
  const std::string own = fmt::format("{:x}:60", std::hash<std::string>()(id));
  return this->rules.crashes_servers
             ? fmt::format("{}:40,{}:10,{}", kCommonPart, kCrashingPart, own)
             : fmt::format("{}:40,{}", kCommonPart, own);
}

void SoakCaller::NotePrompt(RequestKind kind,
                            MonotonicTime sent_at,
                            RequestEnd end) {
  if (this->rules.prompts == nullptr || kind != RequestKind::kStream) {
    return;
  }
  if (this->rules.crashes_servers) {
    this->rules.prompts->NoteSent(sent_at);
  } else {
    this->rules.prompts->NoteSound(this->entry_vm, sent_at,
                                   end == RequestEnd::kServed);
  }
}

bool SoakCaller::PickOldVersion() {
  return this->rules.varies_version &&
         std::uniform_int_distribution<int>(
             1, kOldVersionOneIn)(this->generator) == 1;
}

void SoakCaller::Run(Coroutine yield) {
  while (this->rules.goes_on()) {
    if (this->connection != nullptr) {
      this->connection->ReadPending();  // Its end may not be handled yet.
    }
    if (this->connection == nullptr || this->connection->HasEnded()) {
      this->connection = std::make_shared<TcpConnection>(this->loop);
      const TcpEndpoint address = this->rules.pick();
      this->entry_vm = address.address().to_string();
      if (!this->connection->Connect(
              address, this->loop->Now() + std::chrono::seconds(1),
              &this->waiter, yield)) {
        this->connection = nullptr;
        this->loop->Sleep(kThinking, yield);
        continue;
      }
    }
    const RequestKind kind = this->PickKind();
    const std::string id = fmt::format("{}-{}", this->name, ++this->asked);
    this->ledger->NoteSent(id, kind, this->entry_vm);
    const MonotonicTime sent_at = this->loop->Now();
    if (this->rules.retries != nullptr) {
      this->rules.retries->NoteSent(ServiceOf(kind), id, kPatience, sent_at);
    }
    const RequestEnd end = this->Ask(kind, id, yield);
    this->ledger->NoteEnd(id, end);
    this->NotePrompt(kind, sent_at, end);
    this->served += end == RequestEnd::kServed ? 1 : 0;
    this->loop->Sleep(this->rules.crashes_servers ? kCrashInterval : kThinking,
                      yield);
    if (this->rules.rests && this->connection != nullptr) {
      this->Rest(yield);
    }
  }
  if (this->connection != nullptr) {
    this->connection->SetWaiter(nullptr);
    this->connection->Close();
  }
}

void SoakCaller::Rest(Coroutine yield) {
  const MonotonicTime since = this->connection->LastInput();
  const double share =
      std::uniform_real_distribution<double>(0, kLongestRest)(this->generator);
  const bool meets_close =
      std::uniform_int_distribution<int>(0, 1)(this->generator) == 1;
  const Duration off_by = std::chrono::microseconds(
      std::uniform_int_distribution<int>(-kOffByUs, kOffByUs)(this->generator));
  // A version that comes meanwhile changes the rest.
  while (this->rules.goes_on()) {
    const IdleTimeouts timeouts = this->rules.idle_timeouts();
    const auto part = [&](double of_newest) {
      return std::chrono::duration_cast<Duration>(of_newest * timeouts.newest);
    };
    const Duration rest =
        meets_close ? std::min(timeouts.previous + off_by, part(kLongestRest))
                    : part(share);
    const Duration left = since + rest - this->loop->Now();
    if (left <= Duration{0}) {
      return;
    }
    this->loop->Sleep(std::min(left, kThinking), yield);
  }
}

bool SoakCaller::WasReset(Coroutine yield) {
  // After an orderly end a socket reports a reset to writers only: a first
  // write fails if bytes sent before have met a closed socket.
  if (!this->connection->HasFailed()) {
    this->loop->Sleep(kThinking, yield);
    this->connection->Send("\r\n");
    this->loop->Sleep(kThinking, yield);
  }
  return this->connection->HasFailed();
}

RequestEnd SoakCaller::Ask(RequestKind kind,
                           const std::string& id,
                           Coroutine yield) {
  const Duration patience = this->PickPatience();
  OutgoingRequest request{
      "POST",
      PathOf(kind),
      {{"Host", kRouteHost},
       {"X-Request-Id", id},
       {"X-Model", "m"},
       {"X-Token-Counts", "100,60"},
       {"X-Deadline-Ms", std::to_string(ToMillis(kPatience))},
       {"Authorization", std::string("Bearer ") + kCallerKey}},
      ""};
  if (this->rules.prompts != nullptr && kind == RequestKind::kStream) {
    request.headers.push_back({"X-Prompt-Prefix", this->DescribePrompt(id)});
  }
  this->connection->SetWaiter(&this->waiter);
  const bool is_old_version = this->PickOldVersion();
  const std::string text = SerializeRequest(request);
  this->connection->Send(is_old_version ? ToHttp10(text) : text);
  const MonotonicTime sent_at = this->loop->Now();
  const MonotonicTime deadline = sent_at + patience;
  ResponseParser response(false);
  ResponseState state = ResponseState::kIncomplete;
  while (state == ResponseState::kIncomplete) {
    state = response.ParseAvailable(this->connection.get());
    if (state == ResponseState::kIncomplete &&
        !this->waiter.WaitUntil(deadline, yield)) {
      break;
    }
  }
  RequestEnd end = RequestEnd::kFailed;
  if (is_old_version && response.HasHead() &&
      response.Framing() == ResponseFraming::kChunked) {
    this->ledger->Accuse(id + ": chunks to a caller of HTTP/1.0");
  }
  if (state == ResponseState::kComplete) {
    end = this->Check(kind, id, response, response.TakeBody());
  }
  if (this->rules.notes_closes && this->connection->HasEnded() &&
      !response.HasHead()) {
    const MonotonicTime ended_at = this->loop->Now();
    this->ledger->NoteClosed(id, sent_at, ended_at, this->WasReset(yield));
  }
  const std::string_view field =
      response.HasHead() ? response.Header("Connection") : std::string_view();
  if (state != ResponseState::kComplete ||
      EqualsIgnoringCase(std::string(field), "close")) {
    this->connection->SetWaiter(nullptr);
    this->connection->Close();
    this->connection = nullptr;
  } else if (!this->connection->Input().empty()) {
    this->ledger->Accuse(id + ": bytes after the answer");
  }
  return end;
}

RequestEnd SoakCaller::Check(RequestKind kind,
                             const std::string& id,
                             const ResponseParser& response,
                             const std::string& body) {
  const int status = response.Status();
  const bool is_signed = !response.Header("X-Response-Seal").empty();
  if (status / 100 == 2) {
    const bool is_whole = kind == RequestKind::kStream
                              ? WithUniformLineEnds(body) == ExpectedStream(id)
                              : body == ExpectedBody(id);
    if (!is_signed || !is_whole || response.Header("X-Request-Id") != id) {
      this->ledger->Accuse(
          fmt::format("{}: a success that is not its own: {}", id, body));
    }
    return RequestEnd::kServed;
  }
  if (status == kHttpNotFound || status == kHttpUnauthorized ||
      status == kHttpBadRequest) {
    this->ledger->Accuse(fmt::format("{}: denied with {}", id, status));
  }
  if (PromisesNotRun(status) && !is_signed) {
    if (status == kHttpServiceUnavailable &&
        response.Header("Retry-After").empty()) {
      this->ledger->Accuse(id + ": refused without a Retry-After");
    }
    return RequestEnd::kRefused;
  }
  return RequestEnd::kFailed;
}

}  // namespace kumquatcart::soak
