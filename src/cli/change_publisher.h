// Publishes a change set and finds out what became of it.
#ifndef CLI_CHANGE_PUBLISHER_H_
#define CLI_CHANGE_PUBLISHER_H_

#include <string>

#include "base/clock.h"
#include "cli/config_history.h"
#include "cli/operator_file.h"
#include "model/change_set.h"
#include "platform/log_service.h"

namespace kumquatcart {

enum class PublishOutcome {
  kAccepted,
  kRefused,      // On the log, but the judge refused it.
  kNotAppended,  // Provably not on the log.
  kUnknown,      // May be on the log.
};

struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  ConfigVerdict verdict;  // Of accepted and refused change sets.
  std::string reason;     // Of the other two.
};

// Builds a change set from the operator's files: fills in the expected
// revisions that the files don't give from `view`, and leaves out objects that
// are in force already as written. `partner` may be empty: then the owner of
// the first object. Thread safe.
ChangeSet MakeChangeSet(const OperatorChanges& changes,
                        const ConfigView& view,
                        const std::string& actor,
                        const std::string& partner,
                        WallTime now);

// Appends `change_set` and reads it back. A lost answer is settled by the
// append id: the record is looked for, and appended again when it is not there,
// which is safe because the revisions let at most one of the two take effect.
// An acknowledged append is not repeated. Precondition: `history` was read
// before. Thread safe.
PublishResult PublishChangeSet(LogService* log,
                               Clock* clock,
                               const ChangeSet& change_set,
                               ConfigHistory history);

}  // namespace kumquatcart

#endif  // CLI_CHANGE_PUBLISHER_H_
