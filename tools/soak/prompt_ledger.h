// Requests that servers received after they had ended under their prompts.
#ifndef SOAK_PROMPT_LEDGER_H_
#define SOAK_PROMPT_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

// A part of a prompt under which every server ends, and another one that all
// streams share. Written as the platform does.
constexpr char kCrashingPart[] = "bad0c0de";
constexpr char kCommonPart[] = "5afe0001";

// Counts what reaches servers with the crashing part once five of them have
// ended, and what is served meanwhile. The soak's one thread uses it.
class PromptLedger {
 public:
  // A caller sent a request with the part.
  void NoteSent(MonotonicTime now);
  // A request with the part reached a server through `entry`.
  void NoteArrival(const std::string& entry, MonotonicTime now);
  // A server ended under the part.
  void NoteServerEnd(MonotonicTime now);
  // A stream without the part was sent through `entry`, and was served or not.
  void NoteSound(const std::string& entry, MonotonicTime sent_at, bool served);
  // A signal to the process of `entry`, or its start.
  void NoteDisturbance(const std::string& entry, MonotonicTime now);

  int ServerEnds() const { return static_cast<int>(this->ends.size()); }

  // Every rule that was broken. `calm_from`: no server has been harmed by
  // another fault, nor the store, from this time on.
  std::vector<std::string> Judge(MonotonicTime calm_from) const;

 private:
  struct Event {
    std::string entry;
    MonotonicTime at;
    bool served = false;
  };

  // Whether nothing has disturbed the process for long enough before `at`.
  bool IsUndisturbed(const std::string& entry, MonotonicTime at) const;

  std::vector<MonotonicTime> ends;
  std::vector<Event> arrivals;
  std::vector<Event> sound;
  std::optional<MonotonicTime> last_sent_at;
  std::map<std::string, std::vector<MonotonicTime>> disturbances;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_PROMPT_LEDGER_H_
