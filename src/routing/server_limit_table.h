// Known rate limits of backend servers.
#ifndef ROUTING_SERVER_LIMIT_TABLE_H_
#define ROUTING_SERVER_LIMIT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/server_limit.h"

namespace kumquatcart {

// A server's limit and when this VM last received it.
struct KnownServerLimit {
  ServerLimit limit;
  // Last answer that named it, or the report of a peer that changed it.
  MonotonicTime received_at;
};

// Limits from answers and from the reports of peers. VMs converge on the limit
// of the latest start of a server, and among those on the highest version, a
// logical clock, so that they need not compare their clocks. Not thread safe.
class ServerLimitTable {
 public:
  // Records that an answer names `per_second`, or no limit. Returns whether
  // this changes the limit. An answer without a limit ends it only if the
  // request was sent while the limit was known: other answers may have been
  // made before it.
  bool NoteAnswer(const std::string& server,
                  std::optional<double> per_second,
                  bool sent_under_limit,
                  MonotonicTime now);

  // Adopts a peer's limit if it is newer, or stricter at the same version; an
  // ended one only in place of a known one. Returns whether it was adopted.
  bool Merge(const ServerLimit& limit, MonotonicTime now);

  // Records that a server started at `started_ms`, a Unix time; 0 if unknown.
  // Ends its limit if that applies to an earlier start. Returns whether it did.
  bool HandleStart(const std::string& server,
                   std::int64_t started_ms,
                   MonotonicTime now);

  // Null if the server has no limit.
  const KnownServerLimit* FindLimit(const std::string& server) const;

  // Up to `max_count` limits for peers, including ended ones. Successive calls
  // continue where the last one stopped, so that all are reported in turn.
  // Those of servers that do not exist are left out: peers would receive them
  // from each other again after they have dropped them.
  std::vector<ServerLimit> NextReport(std::size_t max_count);

  // Drops ended limits and those of servers that do not exist, once they have
  // not been received since `oldest`.
  void DropStale(MonotonicTime oldest,
                 const std::function<bool(const std::string&)>& exists);

 private:
  // Ends the limit of a server. Returns whether it had one.
  bool End(const std::string& server, MonotonicTime now);
  // The latest start of a server that this VM knows; 0 if none is.
  std::int64_t LatestStart(const std::string& server) const;
  // Sets a new value with the next version.
  void Change(const std::string& server,
              std::optional<double> per_second,
              MonotonicTime now);

  std::map<std::string, KnownServerLimit> limits;
  std::string last_reported;
  // Starts of the servers that exist.
  std::map<std::string, std::int64_t> starts;
};

}  // namespace kumquatcart

#endif  // ROUTING_SERVER_LIMIT_TABLE_H_
