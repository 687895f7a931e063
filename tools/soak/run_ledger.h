// What callers have sent and what servers have run, to be compared at the end.
#ifndef SOAK_RUN_LEDGER_H_
#define SOAK_RUN_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

enum class RequestKind { kAtMostOnce, kIdempotent, kStream };

// What the caller made of one request.
enum class RequestEnd {
  kOpen,     // Not ended yet.
  kServed,   // A whole success of its own.
  kRefused,  // Told that it has not run and never will.
  kFailed,   // Anything else that promises nothing.
};

// The soak's one thread uses it.
class RunLedger {
 public:
  // `entry_vm`: the entry VM that the caller sent it to.
  void NoteSent(const std::string& id,
                RequestKind kind,
                const std::string& entry_vm = {});
  // The entry VM of a request; empty if no caller sent it.
  std::string EntryOf(const std::string& id) const;
  // The servers that have run it so far, in order.
  std::vector<std::string> RunsOf(const std::string& id) const;
  void NoteRun(const std::string& id, const std::string& server);
  void NoteEnd(const std::string& id, RequestEnd end);
  // The process of `entry_vm` starts, is killed, paused or continued.
  void NoteDisturbance(const std::string& entry_vm, MonotonicTime now);
  // The entry VM ended the connection of a whole request before an answer
  // began: in order, or by a reset, as a request that it leaves unread does.
  void NoteClosed(const std::string& id,
                  MonotonicTime sent_at,
                  MonotonicTime ended_at,
                  bool by_reset);
  // A promise was broken, in words.
  void Accuse(std::string what);

  // Compares runs with answers; call when nothing runs any more. Returns every
  // broken promise.
  std::vector<std::string> Judge() const;

  int Count(RequestEnd end) const;

 private:
  struct Entry {
    bool sent = false;
    RequestKind kind = RequestKind::kIdempotent;
    RequestEnd end = RequestEnd::kOpen;
    std::string entry;
    std::vector<std::string> runs;  // Servers, in order.
  };

  std::map<std::string, Entry> entries;
  std::map<std::string, std::vector<MonotonicTime>> disturbances;
  std::vector<std::string> accusations;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_RUN_LEDGER_H_
