#include "soak/backoff_ledger.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace kumquatcart::soak {

namespace {

// The platform's rule: requests that may reach the server from the time at
// which the answer must have taken effect until the end of the wait.
constexpr Duration kAnswerTime = std::chrono::milliseconds(500);
constexpr int kAllowed = 2;
// Longer than a harmed link lasts.
constexpr Duration kLinkFaultTime = std::chrono::milliseconds(3500);

}  // namespace

void BackoffLedger::NoteRejection(const std::string& server,
                                  const std::string& entry,
                                  Duration wait,
                                  MonotonicTime now) {
  this->rejections.push_back({server, entry, now, now + wait});
}

void BackoffLedger::NoteRequest(const std::string& server,
                                const std::string& entry,
                                MonotonicTime now) {
  this->requests[{server, entry}].push_back(now);
}

void BackoffLedger::NoteDisturbance(const std::string& entry,
                                    MonotonicTime now) {
  this->entry_disturbances[entry].push_back(now);
}

void BackoffLedger::NoteLinkChange(const std::string& server,
                                   MonotonicTime now) {
  this->link_changes[server].push_back(now);
}

bool BackoffLedger::IsDisturbed(
    const std::map<std::string, Times>& disturbances,
    const std::string& name,
    const Rejection& rejection) {
  const auto found = disturbances.find(name);
  return found != disturbances.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&rejection](MonotonicTime at) {
                       return at >= rejection.at - kLinkFaultTime &&
                              at < rejection.until;
                     });
}

std::vector<std::string> BackoffLedger::Judge() const {
  std::vector<std::string> broken;
  std::set<std::pair<std::string, std::string>> reported;
  for (const Rejection& rejection : this->rejections) {
    const auto received =
        this->requests.find({rejection.server, rejection.entry});
    if (received == this->requests.end() ||
        reported.count(received->first) > 0 ||
        IsDisturbed(this->entry_disturbances, rejection.entry, rejection) ||
        IsDisturbed(this->link_changes, rejection.server, rejection)) {
      continue;
    }
    const auto count = std::count_if(
        received->second.begin(), received->second.end(),
        [&rejection](MonotonicTime at) {
          return at >= rejection.at + kAnswerTime && at < rejection.until;
        });
    if (count > kAllowed) {
      reported.insert(received->first);
      broken.push_back(fmt::format(
          "{} got {} requests from {} within the {} ms for which it had told "
          "it to wait",
          rejection.server, count, rejection.entry,
          ToMillis(rejection.until - rejection.at)));
    }
  }
  return broken;
}

}  // namespace kumquatcart::soak
