// Known rate limits of backend servers.
#ifndef ROUTING_SERVER_LIMIT_TABLE_H_
#define ROUTING_SERVER_LIMIT_TABLE_H_

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

// Limits from answers and from the reports of peers. The version of a limit is
// a logical clock, so that VMs converge on the newest one without comparing
// their clocks. Not thread safe.
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

  // Adopts a peer's limit if it is newer, or stricter at the same version.
  // Returns whether it was adopted.
  bool Merge(const ServerLimit& limit, MonotonicTime now);

  // Ends the limit of a server that has restarted. Returns whether it had one.
  bool End(const std::string& server, MonotonicTime now);

  // Null if the server has no limit.
  const KnownServerLimit* FindLimit(const std::string& server) const;

  // Up to `max_count` limits for peers, including ended ones. Successive calls
  // continue where the last one stopped, so that all are reported in turn.
  std::vector<ServerLimit> NextReport(std::size_t max_count);

  // Drops ended limits and those of servers that do not exist, once they have
  // not been received since `oldest`.
  void DropStale(MonotonicTime oldest,
                 const std::function<bool(const std::string&)>& exists);

 private:
  // Sets a new value with the next version.
  void Change(const std::string& server,
              std::optional<double> per_second,
              MonotonicTime now);

  std::map<std::string, KnownServerLimit> limits;
  std::string last_reported;
};

}  // namespace kumquatcart

#endif  // ROUTING_SERVER_LIMIT_TABLE_H_
