// The log's streams, rate limit and retention, without I/O.
#ifndef STANDINS_LOG_MODEL_H_
#define STANDINS_LOG_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "model/log_record.h"
#include "standins/standins_settings.h"

namespace kumquatcart::standins {

// Not thread safe.
class LogModel {
 public:
  LogModel(const LogSettings& settings, MonotonicTime now);

  // Errors: kExhausted when the rate limit is reached.
  Result<Offset> Append(const StreamName& stream,
                        const AppendId& append_id,
                        const std::string& payload,
                        MonotonicTime now,
                        std::int64_t unix_ms);

  // Errors: kExpired when `from` is below the first retained offset.
  Result<LogBatch> Read(const StreamName& stream,
                        Offset from,
                        std::size_t max_records);

  // Drops records below `first_retained`.
  void ExpireBelow(const StreamName& stream, Offset first_retained);

  // Drops records older than the retention.
  void ExpireOld(MonotonicTime now);

  // Oldest offset still kept; one past the last when none is.
  Offset FirstRetained(const StreamName& stream);

 private:
  struct Entry {
    LogRecord record;
    MonotonicTime appended_at;
  };
  struct Stream {
    std::deque<Entry> entries;
    Offset last = kNoOffset;
  };

  static Offset FirstRetainedOf(const Stream& stream);
  bool TakeAppendToken(MonotonicTime now);

  const LogSettings settings;
  std::map<StreamName, Stream> streams;
  double append_tokens;
  MonotonicTime refilled_at;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_LOG_MODEL_H_
