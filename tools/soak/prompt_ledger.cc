#include "soak/prompt_ledger.h"

#include <algorithm>

#include <fmt/format.h>

namespace kumquatcart::soak {

namespace {

// The platform's rules: from this time after the fifth end on, three more
// requests may reach servers, and from twice this time on, requests without the
// part are served at least half as often as otherwise, which is nearly always.
constexpr Duration kSettling = std::chrono::seconds(3);
constexpr std::size_t kEnds = 5;
constexpr int kAllowed = 3;
constexpr double kServedShare = 0.45;
constexpr int kFewestSound = 20;

}  // namespace

void PromptLedger::NoteSent(MonotonicTime now) {
  this->last_sent_at = now;
}

void PromptLedger::NoteArrival(const std::string& entry, MonotonicTime now) {
  this->arrivals.push_back({entry, now});
}

void PromptLedger::NoteServerEnd(MonotonicTime now) {
  this->ends.push_back(now);
}

void PromptLedger::NoteSound(const std::string& entry,
                             MonotonicTime sent_at,
                             bool served) {
  this->sound.push_back({entry, sent_at, served});
}

void PromptLedger::NoteDisturbance(const std::string& entry,
                                   MonotonicTime now) {
  this->disturbances[entry].push_back(now);
}

bool PromptLedger::IsUndisturbed(const std::string& entry,
                                 MonotonicTime at) const {
  const auto found = this->disturbances.find(entry);
  return found == this->disturbances.end() ||
         std::none_of(found->second.begin(), found->second.end(),
                      [at](MonotonicTime disturbed_at) {
                        return disturbed_at > at - kSettling &&
                               disturbed_at <= at;
                      });
}

std::vector<std::string> PromptLedger::Judge(MonotonicTime calm_from) const {
  std::vector<std::string> broken;
  if (this->ends.empty()) {
    return broken;
  }
  const MonotonicTime known_at =
      this->ends[std::min(this->ends.size(), kEnds) - 1];
  const auto late = std::count_if(
      this->arrivals.begin(), this->arrivals.end(), [&](const Event& arrival) {
        return this->ends.size() >= kEnds &&
               arrival.at > known_at + kSettling &&
               this->IsUndisturbed(arrival.entry, arrival.at);
      });
  if (late > kAllowed) {
    broken.push_back(fmt::format(
        "{} requests reached servers later than {} ms after the fifth had "
        "ended under their part; {} ended in all",
        late, ToMillis(kSettling), this->ends.size()));
  }
  int sent = 0;
  int served = 0;
  for (const Event& event : this->sound) {
    if (event.at >= std::max(known_at + 2 * kSettling, calm_from) &&
        event.at <= this->last_sent_at.value_or(known_at) &&
        this->IsUndisturbed(event.entry, event.at)) {
      ++sent;
      served += event.served ? 1 : 0;
    }
  }
  if (sent >= kFewestSound && served < kServedShare * sent) {
    broken.push_back(
        fmt::format("{} of {} streams without the crashing part were served",
                    served, sent));
  }
  return broken;
}

}  // namespace kumquatcart::soak
