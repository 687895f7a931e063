#include "platform/engine_client.h"

#include "base/ids.h"
#include "base/json.h"
#include "model/socket_address.h"
#include "net/http_status.h"
#include "platform/platform_constants.h"
#include "platform/wire_names.h"

namespace kumquatcart {

namespace {

// Servers close idle connections after some seconds.
constexpr Duration kMaxIdle = std::chrono::milliseconds(1500);

Json EncodeOrder(GroupOrder order, const GroupRecord& record) {
  if (order == GroupOrder::kStage) {
    return Json{{"op", "stage"}, {"model", record.model}};
  }
  Json json{{"group", record.group}, {"epoch", record.epoch}};
  switch (order) {
    case GroupOrder::kJoin:
      json["op"] = "join";
      json["model"] = record.model;
      json["members"] = record.members;
      break;
    case GroupOrder::kOpen:
      json["op"] = "open";
      break;
    case GroupOrder::kClose:
      json["op"] = "close";
      json["close_mode"] = "wait";
      break;
    case GroupOrder::kPreempt:
      json["op"] = "close";
      json["close_mode"] = "preempt";
      break;
    default:
      json["op"] = "leave";
      break;
  }
  return json;
}

OrderOutcome Classify(const HttpResponse& reply) {
  if (reply.result == ExchangeResult::kNotSent) {
    return OrderOutcome::kUnreachable;
  }
  if (reply.result != ExchangeResult::kAnswered) {
    return OrderOutcome::kUnknown;
  }
  switch (reply.status) {
    case kHttpAccepted:
      return OrderOutcome::kBegan;
    case kHttpOk:
      return OrderOutcome::kHolds;
    case kHttpConflict:
      return OrderOutcome::kConflict;
    case kHttpPreconditionFailed:
      return OrderOutcome::kStale;
    case kHttpMisdirectedRequest:
      return OrderOutcome::kWrongServer;
    default:
      return OrderOutcome::kRefused;
  }
}

}  // namespace

const char* ToString(GroupOrder order) {
  constexpr const char* kNames[] = {"join",    "open",  "close",
                                    "preempt", "leave", "stage"};
  return kNames[static_cast<int>(order)];
}

const char* ToString(OrderOutcome outcome) {
  constexpr const char* kNames[] = {"began",       "holds",        "conflict",
                                    "stale",       "wrong_server", "refused",
                                    "unreachable", "unknown"};
  return kNames[static_cast<int>(outcome)];
}

OrderOutcome EngineClient::Send(const BackendServer& server,
                                GroupOrder order,
                                const GroupRecord& record,
                                std::optional<std::int64_t> expected_orders,
                                Duration timeout,
                                Coroutine yield) {
  OutgoingRequest request;
  request.method = "POST";
  request.target = wire::kOrderPath;
  request.headers = {{"Content-Type", "application/json"},
                     {wire::kExpectInstance, server.id}};
  Json body = EncodeOrder(order, record);
  if (expected_orders) {
    body[wire::kExpectedOrders] = *expected_orders;
  }
  request.body = body.dump();
  return Classify(this->client->ExchangeOnNewConnection(
      ToTcpEndpoint(server.endpoint), request, this->loop->Now() + timeout,
      yield));
}

Result<EngineReport> EngineClient::Report(const BackendServer& server,
                                          Duration timeout,
                                          Coroutine yield) {
  OutgoingRequest request;
  request.method = "GET";
  request.target = wire::kReportPath;
  request.headers = {{wire::kExpectInstance, server.id},
                     {wire::kRequestId, MakeId<RequestId>().value}};
  const HttpResponse reply = this->client->ExchangeWithId(
      ToTcpEndpoint(server.endpoint), request, wire::kRequestId,
      this->loop->Now() + timeout, kMaxIdle, yield);
  if (reply.HasResponseStatus(kHttpMisdirectedRequest)) {
    return MakeError(ErrorCode::kNotFound, "another server has the address");
  }
  if (reply.result == ExchangeResult::kTimedOut) {
    return MakeError(ErrorCode::kTimeout, "no report in time");
  }
  if (reply.result != ExchangeResult::kAnswered) {
    return MakeError(reply.result == ExchangeResult::kNotSent
                         ? ErrorCode::kUnavailable
                         : ErrorCode::kUnknown,
                     std::string("report: ") + ToString(reply.result));
  }
  if (reply.status != kHttpOk) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "report: status " + std::to_string(reply.status));
  }
  BOOST_OUTCOME_TRY(report, DecodeEngineReport(reply.body));
  if (!MayBeSameStart(report.started_ms, server.started_ms)) {
    return MakeError(ErrorCode::kNotFound, "another start has the address");
  }
  return report;
}

}  // namespace kumquatcart
