#include "standins/platform_api.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/json.h"
#include "net/http_status.h"
#include "platform/platform_constants.h"
#include "standins/vm_host.h"

namespace kumquatcart::standins {

namespace {

// How often waiting reads are looked at beside each append.
constexpr Duration kReadInterval = std::chrono::milliseconds(20);

// Records given by one read at most, and when it names no number.
constexpr std::int64_t kMostRecordsPerRead = 1000;

constexpr int kHttpBadRequest = 400;

int StatusOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kNotFound:
      return kHttpNotFound;
    case ErrorCode::kInvalidArgument:
      return kHttpBadRequest;
    default:
      return kHttpInternalServerError;
  }
}

StreamName StreamOf(const HttpRequest& request) {
  return StreamName(PathOf(request).substr(std::string(kLogPath).size()));
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

PlatformApi::PlatformApi(boost::asio::io_context* context,
                         Scheduler* scheduler,
                         StandIns* stand_ins,
                         const Endpoint& endpoint)
    : scheduler(scheduler),
      stand_ins(stand_ins),
      fault_api(scheduler, stand_ins),
      server(context,
             endpoint,
             [this](const HttpRequest& request, ConnectionPtr connection) {
               this->Handle(request, connection);
             }) {}

Status PlatformApi::Start() {
  this->scheduler->Every(kReadInterval, [this] { this->RetryReads(); });
  return this->server.Open();
}

void PlatformApi::Handle(const HttpRequest& request,
                         const ConnectionPtr& connection) {
  const std::string path = PathOf(request);
  if (path.rfind(kLogPath, 0) == 0) {
    this->HandleLog(request, connection);
  } else if (path == kVmsPath) {
    std::vector<Vm> rows;
    for (const auto& [id, vm] : this->stand_ins->ListedVms().vms) {
      rows.push_back(vm);
    }
    connection->Reply(kHttpOk, Dump(Json{{"vms", rows}}));
  } else if (path == kWeightsPath) {
    connection->Reply(kHttpOk, Dump(this->stand_ins->Weights().Status()));
  } else if (path == "/executions") {
    connection->Reply(kHttpOk, Dump(this->stand_ins->counts));
  } else if (path == "/faults") {
    this->HandleFaults(request, connection);
  } else {
    connection->Reply(kHttpNotFound, ErrorBody("no such path"));
  }
}

void PlatformApi::HandleLog(const HttpRequest& request,
                            const ConnectionPtr& connection) {
  const PlatformFaults& faults = this->stand_ins->faults;
  if (faults.log_down) {
    connection->Reply(kHttpServiceUnavailable, ErrorBody("the log is down"));
    return;
  }
  const auto serve = [this, request, connection] {
    if (request.method() == boost::beast::http::verb::post) {
      this->Append(request, connection);
    } else {
      this->Read(request, connection);
    }
  };
  if (faults.log_slowness > Duration::zero()) {
    this->scheduler->After(faults.log_slowness, serve);
    return;
  }
  serve();
}

void PlatformApi::Append(const HttpRequest& request,
                         const ConnectionPtr& connection) {
  const Result<Json> body = ParseJson(request.body());
  if (!body.has_value() || !body.value().is_object() ||
      !body.value().value("payload", Json()).is_string() ||
      !body.value().value("append_id", Json()).is_string()) {
    connection->Reply(kHttpBadRequest,
                      ErrorBody("append_id and payload must be strings"));
    return;
  }
  const Result<Offset> offset = this->stand_ins->log.Append(
      StreamOf(request), body.value()["append_id"].get<AppendId>(),
      body.value()["payload"].get<std::string>(), this->scheduler->Now(),
      this->scheduler->UnixMillis());
  if (!offset.has_value()) {
    connection->Reply(kHttpTooManyRequests, ErrorBody(offset.error().message));
    return;
  }
  if (this->stand_ins->faults.lost_append_answers > 0) {
    --this->stand_ins->faults.lost_append_answers;
    connection->Abort();
  } else {
    connection->Reply(kHttpOk, Dump(Json{{"offset", offset.value()}}));
  }
  this->RetryReads();
}

void PlatformApi::Read(const HttpRequest& request,
                       const ConnectionPtr& connection) {
  WaitingRead read;
  read.stream = StreamOf(request);
  read.from = QueryNumber(request, "from", 1);
  read.max_records = static_cast<std::size_t>(
      std::clamp<std::int64_t>(QueryNumber(request, "max", kMostRecordsPerRead),
                               1, kMostRecordsPerRead));
  read.until = this->scheduler->Now() +
               std::chrono::milliseconds(QueryNumber(request, "wait_ms", 0));
  read.connection = connection;
  if (!this->TryRead(read)) {
    this->waiting.push_back(std::move(read));
  }
}

bool PlatformApi::TryRead(const WaitingRead& read) {
  if (!read.connection->IsOpen()) {
    return true;
  }
  if (this->stand_ins->faults.log_down) {
    read.connection->Reply(kHttpServiceUnavailable,
                           ErrorBody("the log is down"));
    return true;
  }
  LogModel& log = this->stand_ins->log;
  const Result<LogBatch> batch =
      log.Read(read.stream, read.from, read.max_records);
  if (!batch.has_value()) {
    const Json body = {{"error", batch.error().message},
                       {"first_retained", log.FirstRetained(read.stream)}};
    read.connection->Reply(kHttpGone, Dump(body));
    return true;
  }
  if (batch.value().records.empty() && this->scheduler->Now() < read.until) {
    return false;
  }
  read.connection->Reply(kHttpOk, Dump(batch.value()));
  return true;
}

void PlatformApi::RetryReads() {
  this->waiting.remove_if(
      [this](const WaitingRead& read) { return this->TryRead(read); });
}

void PlatformApi::HandleFaults(const HttpRequest& request,
                               const ConnectionPtr& connection) {
  Status done = Ok();
  if (request.method() == boost::beast::http::verb::delete_) {
    done = this->stand_ins->ClearFaults();
  } else {
    const Result<FaultRequest> fault = DecodeJson<FaultRequest>(request.body());
    done = fault.has_value() ? this->fault_api.Apply(fault.value())
                             : Status(fault.error());
  }
  if (!done.has_value()) {
    connection->Reply(StatusOf(done.error()), ErrorBody(done.error().message));
    return;
  }
  connection->Reply(kHttpOk, "{}");
}

}  // namespace kumquatcart::standins
