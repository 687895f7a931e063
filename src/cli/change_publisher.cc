#include "cli/change_publisher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "model/config_access.h"

namespace kumquatcart {

namespace {

constexpr int kMaxAppends = 3;
constexpr int kMaxReadBacks = 5;
constexpr Duration kReadBackDelay = std::chrono::milliseconds(500);

// Whether `change` would leave the object as it is.
bool IsInForce(const ConfigView& view, const ObjectChange& change) {
  if (change.operation == ChangeOperation::kDelete) {
    return false;
  }
  const std::optional<ConfigObject> present = ReadObject(view, change.name);
  if (!present.has_value() || present->kind != change.kind ||
      present->meta.owner != change.owner) {
    return false;
  }
  // Compared as bodies, so that defaults may be left out.
  ConfigView scratch;
  const Status put = PutObject(
      {change.kind, {change.name, change.owner, kNoOffset}, change.spec},
      &scratch);
  return put.has_value() &&
         ReadObject(scratch, change.name)->spec == present->spec;
}

bool IsLost(ErrorCode code) {
  return code == ErrorCode::kUnknown || code == ErrorCode::kTimeout;
}

// The verdict on the record of `id`. After a repeated append the accepted one
// counts.
const ConfigVerdict* FindVerdict(const ConfigHistory& history,
                                 const AppendId& id) {
  const ConfigVerdict* found = nullptr;
  for (const ConfigVerdict& verdict : history.verdicts) {
    const bool is_better = found == nullptr || verdict.accepted;
    if (verdict.append_id == id && is_better) {
      found = &verdict;
    }
  }
  return found;
}

// One run of PublishChangeSet.
class Publication {
 public:
  Publication(LogService* log,
              Clock* clock,
              const ChangeSet& change_set,
              ConfigHistory history)
      : log(log),
        clock(clock),
        change_set(change_set),
        history(std::move(history)) {}

  PublishResult Run() {
    const std::string payload = EncodeChangeSet(this->change_set);
    bool is_acknowledged = false;
    bool may_be_there = false;
    for (int attempt = 0; attempt < kMaxAppends; ++attempt) {
      if (attempt > 0) {
        this->clock->SleepFor(kReadBackDelay);
      }
      if (!is_acknowledged) {
        const Result<Offset> appended =
            this->log->Append(kConfigStream, this->change_set.id, payload);
        is_acknowledged = appended.has_value();
        may_be_there =
            may_be_there || is_acknowledged || IsLost(appended.error().code);
        if (!may_be_there) {
          return Failure(PublishOutcome::kNotAppended,
                         appended.error().message);
        }
      }
      const Status read = this->ReadBack();
      if (const ConfigVerdict* verdict =
              FindVerdict(this->history, this->change_set.id)) {
        const PublishOutcome outcome = verdict->accepted
                                           ? PublishOutcome::kAccepted
                                           : PublishOutcome::kRefused;
        return {outcome, *verdict, ""};
      }
      if (read.has_error()) {
        return Failure(PublishOutcome::kUnknown, read.error().message);
      }
    }
    return Failure(
        PublishOutcome::kUnknown,
        is_acknowledged
            ? "the append was acknowledged, but its record can't be read yet"
            : "no answer to the append and no record of it yet");
  }

 private:
  static PublishResult Failure(PublishOutcome outcome, std::string reason) {
    return {outcome, ConfigVerdict(), std::move(reason)};
  }

  // Reads to the end of the stream; repeats a failed read.
  Status ReadBack() {
    Status read = Ok();
    for (int attempt = 0; attempt < kMaxReadBacks; ++attempt) {
      read = ReadOn(this->log, Duration::zero(), &this->history);
      if (read.has_value()) {
        return read;
      }
      this->clock->SleepFor(kReadBackDelay);
    }
    return read;
  }

  LogService* const log;
  Clock* const clock;
  const ChangeSet& change_set;
  ConfigHistory history;
};

}  // namespace

ChangeSet MakeChangeSet(const OperatorChanges& changes,
                        const ConfigView& view,
                        const std::string& actor,
                        const std::string& partner,
                        WallTime now) {
  ChangeSet change_set;
  change_set.id = MakeId<AppendId>();
  change_set.actor = actor;
  change_set.partner = PartnerId(partner);
  change_set.time_unix_ms = ToUnixMillis(now);
  if (partner.empty() && !changes.changes.empty()) {
    change_set.partner = changes.changes.front().owner;
  }
  for (ObjectChange change : changes.changes) {
    if (changes.with_revision.count(change.name) == 0) {
      if (IsInForce(view, change)) {
        continue;
      }
      const std::optional<ObjectEntry> present = FindObject(view, change.name);
      change.expected_revision =
          present.has_value() ? present->meta->revision : kNoOffset;
    }
    change_set.changes.push_back(std::move(change));
  }
  return change_set;
}

PublishResult PublishChangeSet(LogService* log,
                               Clock* clock,
                               const ChangeSet& change_set,
                               ConfigHistory history) {
  return Publication(log, clock, change_set, std::move(history)).Run();
}

}  // namespace kumquatcart
