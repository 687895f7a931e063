#include "soak/limit_ledger.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace kumquatcart::soak {

namespace {

// The platform's rule: from a settling time after a limit was first named, a
// server gets in any window at most one and a half times what the limit allows,
// and some requests more.
constexpr Duration kSettling = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr double kTolerance = 1.5;
constexpr int kExtraRequests = 5;
// Time from an answer that names the limit until its receiver must keep it.
constexpr Duration kAnswerTime = std::chrono::milliseconds(500);

int AllowedInWindow(double per_second) {
  return static_cast<int>(kTolerance * per_second *
                              std::chrono::duration<double>(kWindow).count() +
                          kExtraRequests);
}

}  // namespace

LimitLedger::Period* LimitLedger::FindOpen(const std::string& server) {
  const auto found = std::find_if(
      this->periods.begin(), this->periods.end(), [&](const Period& period) {
        return period.server == server && period.end == MonotonicTime::max();
      });
  return found == this->periods.end() ? nullptr : &*found;
}

void LimitLedger::NoteLimit(const std::string& server,
                            double per_second,
                            MonotonicTime now) {
  this->NoteEnd(server, now);
  Period period;
  period.server = server;
  period.per_second = per_second;
  period.begin = now;
  this->periods.push_back(std::move(period));
}

void LimitLedger::NoteEnd(const std::string& server, MonotonicTime now) {
  if (Period* period = this->FindOpen(server)) {
    period->end = now;
  }
}

void LimitLedger::NoteRequest(const std::string& server,
                              const std::string& entry,
                              MonotonicTime now) {
  Period* period = this->FindOpen(server);
  if (period == nullptr) {
    return;
  }
  const auto answered = period->answered_at.find(entry);
  const bool knows_limit = answered != period->answered_at.end() &&
                           answered->second + kAnswerTime <= now;
  period->requests.push_back({now, entry, knows_limit});
}

void LimitLedger::NoteAnswer(const std::string& server,
                             const std::string& entry,
                             MonotonicTime now) {
  if (Period* period = this->FindOpen(server)) {
    period->answered_at.try_emplace(entry, now);
  }
}

void LimitLedger::NoteDisturbance(const std::string& entry, MonotonicTime now) {
  this->disturbances[entry].push_back(now);
  for (Period& period : this->periods) {
    period.answered_at.erase(entry);
  }
}

bool LimitLedger::IsDisturbed(const std::string& entry,
                              MonotonicTime from,
                              MonotonicTime until) const {
  const auto found = this->disturbances.find(entry);
  return found != this->disturbances.end() &&
         std::any_of(
             found->second.begin(), found->second.end(),
             [&](MonotonicTime at) { return at >= from && at < until; });
}

std::vector<std::string> LimitLedger::Judge(MonotonicTime now) const {
  std::vector<std::string> broken;
  for (const Period& period : this->periods) {
    const MonotonicTime end = std::min(period.end, now);
    for (const Request& first : period.requests) {
      const MonotonicTime until = first.at + kWindow;
      if (first.at < period.begin + kSettling || until > end) {
        continue;
      }
      std::set<std::string> disturbed;
      for (const Request& request : period.requests) {
        if (this->IsDisturbed(request.entry, first.at - kSettling, until)) {
          disturbed.insert(request.entry);
        }
      }
      const auto count = std::count_if(
          period.requests.begin(), period.requests.end(),
          [&](const Request& request) {
            return request.knows_limit && request.at >= first.at &&
                   request.at < until && disturbed.count(request.entry) == 0;
          });
      if (count > AllowedInWindow(period.per_second)) {
        broken.push_back(fmt::format(
            "{} got {} requests in 4 s under its limit of {} a second; {} are "
            "allowed",
            period.server, count, period.per_second,
            AllowedInWindow(period.per_second)));
        break;
      }
    }
  }
  return broken;
}

}  // namespace kumquatcart::soak
