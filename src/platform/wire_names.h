// Names on the platform's wire. Only this folder uses them; each is decoded
// into a type of the project where it arrives.
#ifndef PLATFORM_WIRE_NAMES_H_
#define PLATFORM_WIRE_NAMES_H_

namespace kumquatcart::wire {

// Header fields.
inline constexpr char kRequestId[] = "X-Request-Id";
inline constexpr char kDeadline[] = "X-Deadline-Ms";
inline constexpr char kAuthorization[] = "Authorization";
inline constexpr char kModel[] = "X-Model";
inline constexpr char kTokenCounts[] = "X-Token-Counts";
inline constexpr char kPromptPrefix[] = "X-Prompt-Prefix";
inline constexpr char kLengthHint[] = "X-Length-Hint";
inline constexpr char kLastEventId[] = "Last-Event-Id";
inline constexpr char kTenant[] = "X-Tenant";
inline constexpr char kExpectInstance[] = "X-Expect-Instance";
inline constexpr char kExpectVersion[] = "X-Expect-Version";
inline constexpr char kUrgency[] = "X-Request-Urgency";
// Signature of the server that ran the request; goes back unchanged.
inline constexpr char kSeal[] = "X-Response-Seal";
inline constexpr char kNotExecuted[] = "X-Not-Executed";
inline constexpr char kInstanceId[] = "X-Instance-Id";
// The server to blame for a refusal by its group's head.
inline constexpr char kAtServer[] = "At-Server";
inline constexpr char kRetryAfter[] = "Retry-After";
// Requests per second that the server accepts from all entry VMs together.
inline constexpr char kServerLimit[] = "Server-Limit";
// "1" in all answers of a server that is leaving.
inline constexpr char kServerLeaving[] = "Server-Leaving";

// Rises by one each time the store comes back from an older copy of itself; in
// all answers of the store.
inline constexpr char kStoreEra[] = "Store-Era";

// In an order: how many orders the server must have accepted since its start.
inline constexpr char kExpectedOrders[] = "expect";

// Calls.
inline constexpr char kReportPath[] = "/api/report";
inline constexpr char kOrderPath[] = "/api/order";
inline constexpr char kLogAppendPath[] = "/api/log-append";
inline constexpr char kLogReadPath[] = "/api/log-read";
inline constexpr char kLogNewestPath[] = "/api/log-newest";

// Topics that keep the newest record of each key.
inline constexpr char kOperatorTopic[] = "keyed.op";
inline constexpr char kServersTopic[] = "keyed.servers";
inline constexpr char kGroupsTopic[] = "keyed.groups";
inline constexpr char kNodesTopic[] = "keyed.entry-vms";
inline constexpr char kConfigKey[] = "config";
inline constexpr char kEvacuationKeyPrefix[] = "evacuate/";

}  // namespace kumquatcart::wire

#endif  // PLATFORM_WIRE_NAMES_H_
