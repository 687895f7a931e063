// history and watch.
#include <algorithm>
#include <set>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "base/base_constants.h"
#include "base/progress_pacer.h"
#include "cli/config_history.h"
#include "cli/operator_commands.h"
#include "cli/text_table.h"
#include "control/audit_trail.h"
#include "control/config_replica.h"
#include "control/snapshot_reader.h"

namespace kumquatcart::internal {

namespace {

constexpr std::size_t kMaxRecordsPerRead = 256;
constexpr Duration kWatchWait = std::chrono::seconds(5);
constexpr Duration kWatchRetryDelay = std::chrono::seconds(1);

std::string TimeText(std::int64_t unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / kMillisPerSecond);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

std::string FirstLine(const std::string& text) {
  return text.substr(0, text.find('\n'));
}

// Entries of the audit stream, each batch once.
Result<std::vector<AuditEntry>> ReadOrders(LogService* log) {
  BOOST_OUTCOME_TRY(bounds, ReadBounds(log, kAuditStream));
  std::vector<AuditEntry> entries;
  std::set<AppendId> seen;
  Offset next = bounds.first_retained;
  while (next <= bounds.last) {
    BOOST_OUTCOME_TRY(batch, log->Read(kAuditStream, next, kMaxRecordsPerRead,
                                       Duration::zero()));
    if (batch.records.empty()) {
      break;
    }
    for (const LogRecord& record : batch.records) {
      if (record.offset < next) {
        return MakeError(ErrorCode::kUnavailable,
                         "the log returned a record from before the offset "
                         "that was read");
      }
      next = record.offset + 1;
      const auto decoded = DecodeAuditBatch(record.payload);
      if (decoded.has_error() || !seen.insert(record.append_id).second) {
        continue;
      }
      for (AuditEntry entry : decoded.value()) {
        entry.stream = kAuditStream;
        entry.offset = record.offset;
        entries.push_back(std::move(entry));
      }
    }
  }
  return entries;
}

class HistoryCommand : public OperatorCommand {
 public:
  using OperatorCommand::OperatorCommand;
  std::string Name() const override { return "history"; }
  std::string Help() const override {
    return "Show who changed what, when, and the verdicts.";
  }

 protected:
  void AddOwnOptions(CLI::App* app) override {
    app->add_option("--append-id", this->append_id,
                    "Only the change set of this append id; the exit code "
                    "tells its verdict.");
    app->add_option("--object", this->object,
                    "Only entries whose subject names this text.");
    app->add_flag("--orders", this->orders, "Also replica group orders.");
    app->add_flag("--detail", this->detail, "Whole differences and reasons.");
  }

  ExitCode RunWith(const CommandContext& context,
                   OperatorBackend* backend) override {
    const Result<ConfigHistory> history = ReadConfigHistory(backend->Log());
    if (history.has_error()) {
      return Fail(context, ExitCode::kUnknown,
                  "the log can't be read: " + history.error().message);
    }
    if (!this->append_id.empty()) {
      return this->Settle(context, history.value());
    }
    std::vector<AuditEntry> entries;
    for (const ConfigVerdict& verdict : history.value().verdicts) {
      entries.push_back(ToAuditEntry(verdict));
    }
    if (this->orders) {
      const auto found = ReadOrders(backend->Log());
      if (found.has_error()) {
        return Fail(context, ExitCode::kUnknown,
                    "the audit stream can't be read: " + found.error().message);
      }
      entries.insert(entries.end(), found.value().begin(), found.value().end());
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](const AuditEntry& left, const AuditEntry& right) {
                       return left.time_unix_ms < right.time_unix_ms;
                     });
    this->Print(context, entries);
    if (!history.value().is_complete) {
      context.errors << "older records are past retention\n";
    }
    return ExitCode::kDone;
  }

 private:
  // Tells what became of one change set.
  ExitCode Settle(const CommandContext& context,
                  const ConfigHistory& history) const {
    std::vector<AuditEntry> entries;
    bool accepted = false;
    for (const ConfigVerdict& verdict : history.verdicts) {
      if (verdict.append_id.value == this->append_id) {
        entries.push_back(ToAuditEntry(verdict));
        accepted = accepted || verdict.accepted;
      }
    }
    if (entries.empty()) {
      return Fail(context, ExitCode::kUnknown,
                  history.is_complete
                      ? "no record of this id is on the log now; a delayed "
                        "append may still arrive"
                      : "no retained record has this id");
    }
    this->Print(context, entries);
    if (accepted) {
      return ExitCode::kDone;
    }
    return Fail(context, ExitCode::kRefused, entries.front().detail);
  }

  // A change set's differences or reasons name its objects; an order's detail
  // does not name its group.
  std::string Describe(const AuditEntry& entry) const {
    const std::string text =
        this->detail ? entry.detail : FirstLine(entry.detail);
    return entry.stream == kAuditStream ? entry.subject + ": " + text : text;
  }

  void Print(const CommandContext& context,
             const std::vector<AuditEntry>& entries) const {
    std::vector<AuditEntry> selected;
    for (const AuditEntry& entry : entries) {
      const std::string text = entry.subject + "\n" + entry.detail;
      if (text.find(this->object) != std::string::npos) {
        selected.push_back(entry);
      }
    }
    if (this->options.IsJson()) {
      context.output << Json(selected).dump(2, ' ', false,
                                            Json::error_handler_t::replace)
                     << "\n";
      return;
    }
    TextTable table({"OFFSET", "TIME", "ACTOR", "ACTION", "VERDICT", "WHAT"});
    for (const AuditEntry& entry : selected) {
      table.Add({std::to_string(entry.offset), TimeText(entry.time_unix_ms),
                 entry.actor, entry.action, entry.verdict,
                 this->Describe(entry)});
    }
    table.Print(context.output);
  }

  std::string append_id;
  std::string object;
  bool orders = false;
  bool detail = false;
};

class WatchCommand : public OperatorCommand {
 public:
  using OperatorCommand::OperatorCommand;
  std::string Name() const override { return "watch"; }
  std::string Help() const override {
    return "Show change sets and their verdicts as they are published.";
  }

 protected:
  void AddOwnOptions(CLI::App* app) override {
    app->add_option("--count", this->count,
                    "End after so many change sets; 0 goes on.")
        ->capture_default_str()
        ->check(CLI::NonNegativeNumber);
  }

  ExitCode RunWith(const CommandContext& context,
                   OperatorBackend* backend) override {
    Result<ConfigHistory> start = ReadConfigInForce(backend->Log());
    if (start.has_error()) {
      return Fail(context, ExitCode::kRefused,
                  "the log can't be read: " + start.error().message);
    }
    ConfigHistory history = std::move(start).value();
    history.verdicts.clear();
    std::int64_t shown = 0;
    ProgressPacer pacer(kWatchRetryDelay, kWatchWait);
    while (this->count == 0 || shown < this->count) {
      const MonotonicTime started_at = context.clock.Now();
      const Status read = ReadOn(backend->Log(), kWatchWait, &history);
      if (read.has_error()) {
        context.errors << "the log can't be read: " << read.error().message
                       << "\n";
        if (read.error().code == ErrorCode::kExpired) {
          return ExitCode::kRefused;
        }
      }
      for (const ConfigVerdict& verdict : history.verdicts) {
        this->Show(context, ToAuditEntry(verdict));
        ++shown;
      }
      // The log may answer at once although it has nothing new.
      const bool advanced = !history.verdicts.empty();
      const Duration taken = context.clock.Now() - started_at;
      context.clock.SleepFor(
          std::max(pacer.NextPause(advanced) - taken, Duration::zero()));
      history.verdicts.clear();
    }
    return ExitCode::kDone;
  }

 private:
  void Show(const CommandContext& context, const AuditEntry& entry) const {
    if (this->options.IsJson()) {
      context.output << Json(entry).dump(-1, ' ', false,
                                         Json::error_handler_t::replace)
                     << std::endl;
      return;
    }
    context.output << entry.offset << " " << TimeText(entry.time_unix_ms) << " "
                   << entry.actor << " " << entry.verdict << "\n"
                   << entry.detail << std::flush;
  }

  std::int64_t count = 0;
};

}  // namespace

std::unique_ptr<Command> MakeHistoryCommand(OperatorBackendFactory factory) {
  return std::make_unique<HistoryCommand>(std::move(factory));
}

std::unique_ptr<Command> MakeWatchCommand(OperatorBackendFactory factory) {
  return std::make_unique<WatchCommand>(std::move(factory));
}

}  // namespace kumquatcart::internal
