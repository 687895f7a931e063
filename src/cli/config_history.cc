#include "cli/config_history.h"

#include <optional>
#include <utility>

#include "control/snapshot_reader.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxRecordsPerRead = 256;

}  // namespace

Result<ConfigHistory> ReadConfigInForce(LogService* log) {
  ConfigHistory history;
  BOOST_OUTCOME_TRY(snapshot, ReadNewestConfirmedSnapshot(log));
  if (snapshot.has_value()) {
    history.view = std::move(snapshot->view);
    history.is_complete = false;
  }
  BOOST_OUTCOME_TRYV(ReadOn(log, Duration::zero(), &history));
  return history;
}

Result<ConfigHistory> ReadConfigHistory(LogService* log) {
  ConfigHistory history;
  BOOST_OUTCOME_TRY(bounds, ReadBounds(log, kConfigStream));
  if (bounds.first_retained > kNoOffset + 1) {
    BOOST_OUTCOME_TRY(snapshot, ReadOldestSnapshot(log, bounds.first_retained));
    if (!snapshot.has_value()) {
      return MakeError(ErrorCode::kExpired,
                       "the oldest records are past retention and no snapshot "
                       "covers them");
    }
    history.view = std::move(snapshot->view);
    history.is_complete = false;
  }
  BOOST_OUTCOME_TRYV(ReadOn(log, Duration::zero(), &history));
  return history;
}

Status ReadOn(LogService* log, Duration wait, ConfigHistory* history) {
  while (true) {
    BOOST_OUTCOME_TRY(batch, log->Read(kConfigStream, history->view.offset + 1,
                                       kMaxRecordsPerRead, wait));
    for (const LogRecord& record : batch.records) {
      if (record.offset <= history->view.offset) {
        return MakeError(ErrorCode::kUnavailable,
                         "the log returned a record from before the offset "
                         "that was read");
      }
      JudgedRecord judged = JudgeRecord(std::move(history->view), record);
      history->view = std::move(judged.view);
      history->verdicts.push_back(std::move(judged.verdict));
    }
    if (batch.records.empty() || history->view.offset >= batch.last) {
      return Ok();
    }
  }
}

}  // namespace kumquatcart
