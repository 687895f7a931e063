// The name of a record of a log that may come back from an older copy.
#ifndef MODEL_LOG_PLACE_H_
#define MODEL_LOG_PLACE_H_

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/log_record.h"

namespace kumquatcart {

// Place of a record in a stream. After the log came back from an older copy, an
// offset is given out again; the platform's time and the writer's append ID
// tell the records apart.
//
// Places of one history grow with the offsets. The records after a return are
// newer than those that were lost, so that a place of the newer history is
// above every place that was lost, at whatever offset.
struct LogPlace {
  std::int64_t newest_ms = 0;  // Highest time of the records up to this one.
  Offset offset = kNoOffset;
  std::int64_t time_unix_ms = 0;  // Of the record itself.
  AppendId append_id;             // Empty: the record at the offset is unknown.

  auto Tie() const {
    return std::tie(this->newest_ms, this->offset, this->time_unix_ms,
                    this->append_id);
  }

  bool IsKnown() const { return !this->append_id.IsEmpty(); }

  // Returns whether `record` may be the one at this place.
  bool Names(const LogRecord& record) const {
    return record.offset == this->offset &&
           (!this->IsKnown() || (record.append_id == this->append_id &&
                                 record.time_unix_ms == this->time_unix_ms));
  }

  // Returns the place of `record`, which follows this place.
  LogPlace Next(const LogRecord& record) const {
    return {std::max(this->newest_ms, record.time_unix_ms), record.offset,
            record.time_unix_ms, record.append_id};
  }

  // Returns whether this place is above `other`. Only offsets are compared when
  // one of the records is unknown.
  bool IsAbove(const LogPlace& other) const {
    if (!this->IsKnown() || !other.IsKnown()) {
      return this->offset > other.offset;
    }
    return this->Tie() > other.Tie();
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogPlace,
                                   newest_ms,
                                   offset,
                                   time_unix_ms,
                                   append_id)

}  // namespace kumquatcart

#endif  // MODEL_LOG_PLACE_H_
