// The platform's append-only log.
#ifndef PLATFORM_LOG_SERVICE_H_
#define PLATFORM_LOG_SERVICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "model/log_record.h"

namespace kumquatcart {

// Blocking client of the log. All methods are thread safe.
class LogService {
 public:
  virtual ~LogService() = default;

  // Appends one record and returns its offset.
  // Errors: kUnavailable when it provably was not appended; kExhausted when the
  // platform limits the rate (not appended); kUnknown when the answer was lost:
  // read back and look for `append_id`.
  virtual Result<Offset> Append(const StreamName& stream,
                                const AppendId& append_id,
                                const std::string& payload) = 0;

  // Reads up to `max_records` records from `from` on. Waits up to `wait` for
  // one to appear. Errors: kExpired when `from` is below the first retained
  // offset (the message names it); kUnavailable or kTimeout when the platform
  // does not answer.
  virtual Result<LogBatch> Read(const StreamName& stream,
                                Offset from,
                                std::size_t max_records,
                                Duration wait) = 0;
};

}  // namespace kumquatcart

#endif  // PLATFORM_LOG_SERVICE_H_
