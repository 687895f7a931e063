// Orders to model servers, and their reports.
#ifndef PLATFORM_ENGINE_CLIENT_H_
#define PLATFORM_ENGINE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/outcome.h"
#include "model/backend_server.h"
#include "net/http_client.h"
#include "platform/server_decoder.h"

namespace kumquatcart {

enum class GroupOrder { kJoin, kOpen, kClose, kPreempt, kLeave, kStage };

// Lower-case name for logs. Thread safe.
const char* ToString(GroupOrder order);

enum class OrderOutcome {
  kBegan,        // The server carries it out.
  kHolds,        // The state already holds.
  kConflict,     // It does not fit the server's state now.
  kStale,        // The server has seen a higher epoch.
  kWrongServer,  // Another server has the address.
  kRefused,      // No such order, or any other answer.
  kUnreachable,  // The server has not seen it.
  kUnknown,      // It may be carried out, now or seconds later.
};

// Lower-case name for logs. Thread safe.
const char* ToString(OrderOutcome outcome);

// Whether the server may carry out the order, or has. Thread safe.
inline bool MayHaveBegun(OrderOutcome outcome) {
  return outcome == OrderOutcome::kBegan || outcome == OrderOutcome::kHolds ||
         outcome == OrderOutcome::kUnknown;
}

// For the event loop's thread.
class EngineClient {
 public:
  EngineClient(EventLoop* loop, HttpClient* client)
      : loop(loop), client(client) {}

  // Sends one order about `record`'s group to `server`, on a connection of its
  // own: an answer to another order would count as its own. kStage uses the
  // record's model only. With `expected_orders`, the server refuses it with
  // kConflict unless that is the number of orders that its reports state.
  OrderOutcome Send(const BackendServer& server,
                    GroupOrder order,
                    const GroupRecord& record,
                    std::optional<std::int64_t> expected_orders,
                    Duration timeout,
                    Coroutine yield);

  // Asks a server for its state. Whichever server has the address answers, so a
  // report of another start than `server`'s is an error. Errors: kTimeout,
  // kUnavailable where no connection was made, kUnknown where it ended without
  // an answer, kNotFound where another server or start has the address,
  // kInvalidArgument where the answer is no report.
  Result<EngineReport> Report(const BackendServer& server,
                              Duration timeout,
                              Coroutine yield);

 private:
  EventLoop* const loop;
  HttpClient* const client;
};

}  // namespace kumquatcart

#endif  // PLATFORM_ENGINE_CLIENT_H_
