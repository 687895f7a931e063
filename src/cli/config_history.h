// The configuration as read from the log by operator commands.
#ifndef CLI_CONFIG_HISTORY_H_
#define CLI_CONFIG_HISTORY_H_

#include <vector>

#include "base/outcome.h"
#include "model/config_judge.h"
#include "model/config_view.h"
#include "platform/log_service.h"

namespace kumquatcart {

// The view in force and the verdicts that led to it.
struct ConfigHistory {
  ConfigView view;
  // Oldest first; begins after the snapshot that was read.
  std::vector<ConfigVerdict> verdicts;
  // Whether the verdicts begin with the first record ever.
  bool is_complete = true;
};

// Reads the newest snapshot of the log's history and the records after it.
// Errors: as LogService::Read; kExpired when records are lost between the two.
Result<ConfigHistory> ReadConfigInForce(LogService* log);

// As above, from the oldest record that can still be judged.
Result<ConfigHistory> ReadConfigHistory(LogService* log);

// Reads and judges the records after `history->view.offset` up to the end of
// the stream, waiting up to `wait` for the first. Errors: as LogService::Read;
// kUnavailable when the log returns records from before the offset read.
Status ReadOn(LogService* log, Duration wait, ConfigHistory* history);

}  // namespace kumquatcart

#endif  // CLI_CONFIG_HISTORY_H_
