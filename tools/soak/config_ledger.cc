#include "soak/config_ledger.h"

#include <algorithm>

#include <fmt/format.h>

#include "net/http_status.h"

namespace kumquatcart::soak {

namespace {

// The platform's bound, config_propagation.
constexpr Duration kPropagation = std::chrono::milliseconds(2000);
// After an answer that shows a version, requests in one process may still be
// handled by an older one for this long.
constexpr Duration kOverlap = std::chrono::milliseconds(250);

constexpr int kHttpForbidden = 403;

bool IsDenial(int status) {
  return status == kHttpBadRequest || status == kHttpUnauthorized ||
         status == kHttpForbidden || status == kHttpNotFound;
}

}  // namespace

void ConfigLedger::NoteVersion(const ConfigVersion& version) {
  this->versions.push_back(version);
  this->history.NoteConfirmed(version.number, version.confirmed_at);
}

void ConfigLedger::NoteAnswer(const ConfigAnswer& answer) {
  this->answers.push_back(answer);
}

int ConfigLedger::Bound() const {
  return static_cast<int>(
      std::count_if(this->answers.begin(), this->answers.end(),
                    [this](const ConfigAnswer& answer) {
                      return answer.in_touch && !HandlingsOf(answer).empty() &&
                             this->DueAt(answer.sent_at) > 0;
                    }));
}

std::vector<ConfigLedger::Handling> ConfigLedger::HandlingsOf(
    const ConfigAnswer& answer) {
  std::vector<Handling> handlings(answer.services.begin(),
                                  answer.services.end());
  if (IsDenial(answer.status)) {
    handlings.push_back(std::nullopt);
  }
  return handlings;
}

bool ConfigLedger::Allows(const ConfigVersion& version,
                          const ConfigQuestion& question,
                          const Handling& handling) {
  const auto route = version.routes.find(question.path);
  const bool serves =
      route != version.routes.end() && version.keys.count(question.key) > 0;
  return handling ? serves && route->second.count(*handling) > 0 : !serves;
}

int ConfigLedger::DueAt(MonotonicTime time) const {
  return this->history.NewestHeld(time - kPropagation, time);
}

std::optional<int> ConfigLedger::FindVersion(const ConfigAnswer& answer,
                                             const Handling& handling,
                                             int first) const {
  const auto found =
      std::find_if(this->versions.begin(), this->versions.end(),
                   [&](const ConfigVersion& version) {
                     return version.number >= first &&
                            version.confirmed_at <= answer.ended_at &&
                            Allows(version, answer.question, handling);
                   });
  return found == this->versions.end() ? std::nullopt
                                       : std::optional(found->number);
}

void ConfigLedger::JudgeOne(const ConfigAnswer& answer,
                            const Handling& handling,
                            ShownVersions* shown,
                            std::vector<std::string>* broken) const {
  int shown_before = 0;
  std::vector<Shown>& history = (*shown)[answer.process];
  for (const Shown& earlier : history) {
    if (answer.sent_at - earlier.at > kOverlap) {
      shown_before = std::max(shown_before, earlier.version);
    }
  }
  const int due = answer.in_touch ? this->DueAt(answer.sent_at) : 0;
  const std::optional<int> version =
      this->FindVersion(answer, handling, std::max(shown_before, due));
  if (version) {
    history.push_back({answer.ended_at, *version});
    return;
  }
  std::string what =
      fmt::format("{} {} {} ({} {} with {})", answer.process,
                  handling ? "ran at " + *handling
                           : fmt::format("denied {}", answer.status),
                  answer.request_id, answer.question.about,
                  answer.question.path, answer.question.key);
  if (due > 0) {
    const ConfigVersion& newest =
        this->versions[static_cast<std::size_t>(due) - 1];
    what += fmt::format(", {} ms after version {} was confirmed",
                        ToMillis(answer.sent_at - newest.confirmed_at), due);
  }
  if (shown_before > due) {
    what += fmt::format(", after it had shown version {}", shown_before);
  }
  broken->push_back(what);
}

std::vector<std::string> ConfigLedger::Judge() const {
  std::vector<std::string> broken;
  ShownVersions shown;
  for (const ConfigAnswer& answer : this->answers) {
    for (const Handling& handling : HandlingsOf(answer)) {
      this->JudgeOne(answer, handling, &shown, &broken);
    }
  }
  return broken;
}

}  // namespace kumquatcart::soak
