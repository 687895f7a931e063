// Entries of the audit trail.
#ifndef MODEL_AUDIT_ENTRY_H_
#define MODEL_AUDIT_ENTRY_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/log_record.h"

namespace kumquatcart {

// One change or order: who, when, what, and what became of it.
struct AuditEntry {
  std::int64_t time_unix_ms = 0;
  StreamName stream;          // Where the record is.
  Offset offset = kNoOffset;  // Zero for orders not yet written to the log.
  std::string actor;          // Operator name or node id.
  std::string action;         // "change-set", or the kind of a group order.
  std::string subject;        // Object names or group id.
  std::string verdict;        // "accepted", "refused", "applied", "unknown".
  std::string detail;         // Diff or reason.

  auto Tie() const {
    return std::tie(this->time_unix_ms, this->stream, this->offset, this->actor,
                    this->action, this->subject, this->verdict, this->detail);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AuditEntry,
                                                time_unix_ms,
                                                stream,
                                                offset,
                                                actor,
                                                action,
                                                subject,
                                                verdict,
                                                detail)

// The newest entries, oldest first, bounded by its writer.
struct AuditTable {
  std::vector<AuditEntry> entries;

  auto Tie() const { return std::tie(this->entries); }
};

}  // namespace kumquatcart

#endif  // MODEL_AUDIT_ENTRY_H_
