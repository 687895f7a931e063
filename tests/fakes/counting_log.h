// Counts the calls of a log and replaces its answers.
#ifndef FAKES_COUNTING_LOG_H_
#define FAKES_COUNTING_LOG_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "platform/log_service.h"

namespace kumquatcart {

// Passes calls on to another log and counts them. Reads beyond `kMaxReads` fail
// with kUnavailable, so that a loop that only ends on a failure ends. Thread
// safe; `answer_read` is set before the first call.
class CountingLog : public LogService {
 public:
  static constexpr int kMaxReads = 5000;

  // The answer to a read; none passes the read on.
  using ReadAnswer =
      std::function<std::optional<Result<LogBatch>>(const StreamName& stream,
                                                    Offset from)>;

  // Precondition: `target` outlives this object.
  explicit CountingLog(LogService* target) : target(target) {}

  Result<Offset> Append(const StreamName& stream,
                        const AppendId& append_id,
                        const std::string& payload) override {
    ++this->appends;
    return this->target->Append(stream, append_id, payload);
  }

  Result<LogBatch> Read(const StreamName& stream,
                        Offset from,
                        std::size_t max_records,
                        Duration wait) override {
    if (++this->reads > kMaxReads) {
      return MakeError(ErrorCode::kUnavailable, "too many reads");
    }
    if (this->answer_read) {
      std::optional<Result<LogBatch>> answer = this->answer_read(stream, from);
      if (answer.has_value()) {
        return *std::move(answer);
      }
    }
    return this->target->Read(stream, from, max_records, wait);
  }

  ReadAnswer answer_read;
  std::atomic<int> reads{0};
  std::atomic<int> appends{0};

 private:
  LogService* const target;
};

}  // namespace kumquatcart

#endif  // FAKES_COUNTING_LOG_H_
