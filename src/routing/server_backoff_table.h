// Times in which backend servers take no requests from this VM.
#ifndef ROUTING_SERVER_BACKOFF_TABLE_H_
#define ROUTING_SERVER_BACKOFF_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "routing/server_start.h"

namespace kumquatcart {

// The backoffs that servers name in their rejections. After the end of one, a
// server gets a single request at first, and one more at a time for each one
// that it accepts. Not thread safe.
class ServerBackoffTable {
 public:
  // Records that the server takes no requests until `end`. Returns whether that
  // is later than before; an earlier end does not replace a later one. A start
  // that is known to be later than `server` must not be recorded before.
  bool Record(const ServerStart& server, MonotonicTime end);

  // The end of the server's backoff; none if it has none at `now`.
  std::optional<MonotonicTime> FindEnd(const std::string& server,
                                       MonotonicTime now) const;

  // Requests that this VM may have in progress at the server at `now`; none:
  // any number.
  std::optional<int> MaxInProgress(const std::string& server,
                                   MonotonicTime now) const;

  // Records that the server has accepted a request.
  void RecordAccepted(const std::string& server, MonotonicTime now);

  // Ends the backoff of an earlier start. Returns whether there was one.
  bool HandleStart(const ServerStart& server);

  // Drops what has ended, and servers that have not existed for a minute.
  // `exists`: whether a server exists.
  void DropStale(MonotonicTime now,
                 const std::function<bool(const std::string&)>& exists);

  std::size_t Size() const { return this->backoffs.size(); }

 private:
  struct Backoff {
    std::int64_t started_ms = 0;  // Start of the server; 0 where not given.
    MonotonicTime end;
    int max_in_progress = 1;  // After the end.
    MonotonicTime missing_since = MonotonicTime::max();
  };

  std::map<std::string, Backoff> backoffs;
};

// Time after the end of a backoff until this VM sends its first request:
// random, so that `nodes` VMs return one after the other. `draw`: from 0 up
// to 1. Thread safe.
Duration ReturnDelay(Duration backoff, int nodes, double draw);

}  // namespace kumquatcart

#endif  // ROUTING_SERVER_BACKOFF_TABLE_H_
