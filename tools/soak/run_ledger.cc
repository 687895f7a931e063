#include "soak/run_ledger.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace kumquatcart::soak {

namespace {

// Servers that may run one request, as the configuration says.
constexpr std::size_t kAttempts = 2;
// Undisturbed time of a process before a request that it must answer.
constexpr Duration kSettling = std::chrono::seconds(3);
// A running process reads what has arrived at an open connection within this
// time, so a later reset is no request that crossed the close.
constexpr Duration kCrossing = std::chrono::milliseconds(500);

}  // namespace

void RunLedger::NoteSent(const std::string& id,
                         RequestKind kind,
                         const std::string& entry_vm) {
  Entry& entry = this->entries[id];
  entry.sent = true;
  entry.kind = kind;
  entry.entry = entry_vm;
}

std::string RunLedger::EntryOf(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? std::string() : found->second.entry;
}

std::vector<std::string> RunLedger::RunsOf(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? std::vector<std::string>()
                                      : found->second.runs;
}

void RunLedger::NoteRun(const std::string& id, const std::string& server) {
  this->entries[id].runs.push_back(server);
}

void RunLedger::NoteEnd(const std::string& id, RequestEnd end) {
  this->entries[id].end = end;
}

void RunLedger::NoteDisturbance(const std::string& entry_vm,
                                MonotonicTime now) {
  this->disturbances[entry_vm].push_back(now);
}

void RunLedger::NoteClosed(const std::string& id,
                           MonotonicTime sent_at,
                           MonotonicTime ended_at,
                           bool by_reset) {
  const std::string entry_vm = this->EntryOf(id);
  const std::vector<MonotonicTime>& times = this->disturbances[entry_vm];
  const bool disturbed =
      std::any_of(times.begin(), times.end(), [&](MonotonicTime at) {
        return at >= sent_at - kSettling && at <= ended_at;
      });
  if (disturbed || (by_reset && ended_at - sent_at <= kCrossing)) {
    return;
  }
  this->Accuse(fmt::format("{} closed {} without an answer after {} ms, {}",
                           entry_vm, id, ToMillis(ended_at - sent_at),
                           by_reset ? "by a reset" : "in order"));
}

void RunLedger::Accuse(std::string what) {
  this->accusations.push_back(std::move(what));
}

std::vector<std::string> RunLedger::Judge() const {
  std::vector<std::string> broken = this->accusations;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.sent) {
      broken.push_back(fmt::format("{} ran and no caller sent it", id));
      continue;
    }
    const bool at_most_once = entry.kind == RequestKind::kAtMostOnce;
    const std::size_t allowed = at_most_once ? 1 : kAttempts;
    if (entry.runs.size() > allowed) {
      broken.push_back(fmt::format("{} ran {} times, at {}", id,
                                   entry.runs.size(),
                                   fmt::join(entry.runs, ", ")));
    }
    if (at_most_once && entry.end == RequestEnd::kRefused &&
        !entry.runs.empty()) {
      broken.push_back(
          fmt::format("{} was refused and ran at {}", id, entry.runs.front()));
    }
    if (entry.end == RequestEnd::kServed && entry.runs.empty()) {
      broken.push_back(fmt::format("{} was served and never ran", id));
    }
  }
  return broken;
}

int RunLedger::Count(RequestEnd end) const {
  return static_cast<int>(std::count_if(
      this->entries.begin(), this->entries.end(),
      [end](const auto& entry) { return entry.second.end == end; }));
}

}  // namespace kumquatcart::soak
