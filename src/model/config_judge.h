// The judge of change sets.
//
// Every node judges every record of the configuration stream by this pure
// function in the order of the offsets, so all nodes reach the same verdicts.
#ifndef MODEL_CONFIG_JUDGE_H_
#define MODEL_CONFIG_JUDGE_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/config_diff.h"
#include "model/config_view.h"
#include "model/log_record.h"
#include "model/rule_violation.h"

namespace kumquatcart {

// What became of one record.
struct ConfigVerdict {
  Offset offset = kNoOffset;
  std::int64_t time_unix_ms = 0;  // The platform's, from the record.
  AppendId append_id;
  std::string actor;
  PartnerId partner;
  bool accepted = false;
  RuleViolations violations;  // Empty when accepted; sorted, no duplicates.
  ConfigDiff diff;            // Empty when refused.

  auto Tie() const {
    return std::tie(this->offset, this->time_unix_ms, this->append_id,
                    this->actor, this->partner, this->accepted,
                    this->violations, this->diff);
  }
};

// The view after a record, and the verdict on it.
struct JudgedRecord {
  ConfigView view;
  ConfigVerdict verdict;
};

// Judges `record` against `view`, which is every record before it judged. A
// refused record only advances the offset. Move `view` in to save a copy.
// Precondition: `record.offset` is above `view.offset`. Thread safe.
JudgedRecord JudgeRecord(ConfigView view, const LogRecord& record);

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_JUDGE_H_
