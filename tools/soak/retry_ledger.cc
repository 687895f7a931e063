#include "soak/retry_ledger.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace kumquatcart::soak {

namespace {

// The platform's rule on the time that servers are given: more than so many
// requests, and more than this share of them and of all late repeats.
constexpr int kMostGivenTooLong = 20;
constexpr double kShareGivenTooLong = 0.2;
constexpr Duration kTolerance = std::chrono::milliseconds(500);

// Number of `times`, which ascend, in [from, to).
int CountWithin(const std::vector<MonotonicTime>& times,
                MonotonicTime from,
                MonotonicTime to) {
  return static_cast<int>(std::lower_bound(times.begin(), times.end(), to) -
                          std::lower_bound(times.begin(), times.end(), from));
}

}  // namespace

void RetryLedger::NoteSent(const std::string& service,
                           const std::string& id,
                           Duration patience,
                           MonotonicTime now) {
  this->services[service].sent.push_back(now);
  this->requests[id].patience = patience;
}

void RetryLedger::NoteArrival(const std::string& service,
                              const std::string& id,
                              Duration time_left,
                              MonotonicTime now) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return;  // Of no caller; the ledger of runs accuses it.
  }
  Request& request = found->second;
  const bool is_repeat = request.first_arrival != MonotonicTime{};
  ++this->judged;
  bool is_too_long =
      time_left < Duration{0} || time_left > request.patience + kTolerance;
  if (is_repeat) {
    this->services[service].repeats.push_back(now);
    if (now > request.first_arrival + kTolerance) {
      is_too_long =
          is_too_long ||
          now + time_left > std::max(request.first_end,
                                     request.first_arrival + request.patience) +
                                kTolerance;
    }
  } else {
    request.first_arrival = now;
    request.first_end = now + time_left;
  }
  this->given_too_long += is_too_long ? 1 : 0;
  this->late_repeats +=
      !is_too_long && is_repeat && now > request.first_arrival + kTolerance ? 1
                                                                            : 0;
}

FullestWindow RetryLedger::FullestOf(const Service& service) const {
  FullestWindow fullest;
  double least_room = HUGE_VAL;
  const Duration window = this->rules.window;
  for (std::size_t i = 0; i < service.repeats.size(); ++i) {
    // The window that begins with this repeat.
    const MonotonicTime from = service.repeats[i];
    int requests = 0;
    for (const Duration before : {Duration{0}, window / 2, window}) {
      requests = std::max(requests, CountWithin(service.sent, from - before,
                                                from - before + window));
    }
    const int repeats = CountWithin(service.repeats, from, from + window);
    const double allowed = this->rules.ratio * requests + this->rules.base;
    if (allowed - repeats < least_room) {
      least_room = allowed - repeats;
      fullest = {repeats, static_cast<int>(allowed)};
    }
  }
  return fullest;
}

FullestWindow RetryLedger::Fullest() const {
  FullestWindow fullest;
  double least_room = HUGE_VAL;
  for (const auto& entry : this->services) {
    const FullestWindow window = this->FullestOf(entry.second);
    if (window.repeats > 0 && window.allowed - window.repeats < least_room) {
      least_room = window.allowed - window.repeats;
      fullest = window;
    }
  }
  return fullest;
}

std::vector<std::string> RetryLedger::Judge() const {
  std::vector<std::string> broken;
  for (const auto& [name, service] : this->services) {
    const FullestWindow window = this->FullestOf(service);
    if (window.repeats > window.allowed) {
      broken.push_back(fmt::format(
          "{} repeats reached {} within {} ms, {} are allowed", window.repeats,
          name, ToMillis(this->rules.window), window.allowed));
    }
  }
  if (this->given_too_long > kMostGivenTooLong &&
      this->given_too_long >
          kShareGivenTooLong * (this->given_too_long + this->late_repeats)) {
    broken.push_back(fmt::format(
        "servers were given more time than was left for {} of {} requests",
        this->given_too_long, this->judged));
  }
  return broken;
}

}  // namespace kumquatcart::soak
