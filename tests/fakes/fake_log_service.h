// In-memory stand-in for the platform's log, with faults.
#ifndef FAKES_FAKE_LOG_SERVICE_H_
#define FAKES_FAKE_LOG_SERVICE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "platform/log_service.h"

namespace kumquatcart {

// Keeps every stream in memory. Read never waits: it answers with what is
// there. Thread safe.
class FakeLogService : public LogService {
 public:
  explicit FakeLogService(const Clock& clock) : clock(clock) {}

  Result<Offset> Append(const StreamName& stream,
                        const AppendId& append_id,
                        const std::string& payload) override {
    this->RunBeforeAppend();
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return MakeError(ErrorCode::kUnavailable, "the log is down");
    }
    if (this->refused_appends > 0) {
      --this->refused_appends;
      return MakeError(ErrorCode::kExhausted, "too many appends");
    }
    if (this->lost_requests > 0) {
      --this->lost_requests;
      return MakeError(ErrorCode::kUnknown, "no answer");
    }
    Stream& target = this->streams[stream];
    const Offset offset = ++target.last;
    target.records.push_back(
        {offset, ToUnixMillis(this->clock.WallNow()), append_id, payload});
    ++this->append_count;
    this->down = this->down_after_append;
    if (this->lost_answers > 0) {
      --this->lost_answers;
      return MakeError(ErrorCode::kUnknown, "no answer");
    }
    return offset;
  }

  Result<LogBatch> Read(const StreamName& stream,
                        Offset from,
                        std::size_t max_records,
                        Duration wait) override {
    static_cast<void>(wait);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return MakeError(ErrorCode::kUnavailable, "the log is down");
    }
    Stream& source = this->streams[stream];
    this->DropExpired(&source);
    LogBatch batch;
    batch.last = source.last;
    batch.first_retained = source.records.empty()
                               ? source.last + 1
                               : source.records.front().offset;
    if (from < batch.first_retained) {
      return MakeError(
          ErrorCode::kExpired,
          "first retained offset is " + std::to_string(batch.first_retained));
    }
    for (const LogRecord& record : source.records) {
      if (record.offset >= from && batch.records.size() < max_records) {
        batch.records.push_back(record);
      }
    }
    return batch;
  }

  // Every call fails with kUnavailable and has no effect.
  void SetDown(bool is_down) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->down_after_append = false;
    this->down = is_down;
  }

  // Goes down right after the next append took effect.
  void GoDownAfterAppend() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->down_after_append = true;
  }

  // Calls `action` once, before the next append, as another writer would act.
  void BeforeNextAppend(std::function<void()> action) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->before_append = std::move(action);
  }

  // The next `count` appends take effect, but answer kUnknown.
  void LoseAnswers(int count) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->lost_answers = count;
  }

  // The next `count` appends take no effect and answer kUnknown.
  void LoseRequests(int count) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->lost_requests = count;
  }

  // The next `count` appends fail with kExhausted and have no effect.
  void RefuseAppends(int count) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->refused_appends = count;
  }

  // Records older than `age` are dropped. Zero keeps all.
  void SetRetention(Duration age) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->retention = age;
  }

  // Drops every record of `stream` below `offset`.
  void ExpireBefore(const StreamName& stream, Offset offset) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    EraseIf(&this->streams[stream], [offset](const LogRecord& record) {
      return record.offset < offset;
    });
  }

  // Comes back from an older copy of `stream`: the records from `offset` on are
  // lost, and their offsets are given out again.
  void RestoreBefore(const StreamName& stream, Offset offset) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    EraseIf(&this->streams[stream], [offset](const LogRecord& record) {
      return record.offset >= offset;
    });
    this->streams[stream].last = offset - 1;
  }

  // Appends that took effect, on all streams.
  int AppendCount() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->append_count;
  }

 private:
  struct Stream {
    Offset last = kNoOffset;
    std::vector<LogRecord> records;
  };

  void RunBeforeAppend() {
    std::function<void()> action;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      std::swap(action, this->before_append);
    }
    if (action) {
      action();
    }
  }

  template <class Predicate>
  static void EraseIf(Stream* stream, Predicate predicate) {
    std::vector<LogRecord>& records = stream->records;
    records.erase(std::remove_if(records.begin(), records.end(), predicate),
                  records.end());
  }

  void DropExpired(Stream* stream) {
    if (this->retention == Duration::zero()) {
      return;
    }
    const std::int64_t oldest =
        ToUnixMillis(this->clock.WallNow() - this->retention);
    EraseIf(stream, [oldest](const LogRecord& record) {
      return record.time_unix_ms < oldest;
    });
  }

  const Clock& clock;
  mutable std::mutex mutex;
  std::map<StreamName, Stream> streams;
  bool down = false;
  bool down_after_append = false;
  std::function<void()> before_append;
  int lost_answers = 0;
  int lost_requests = 0;
  int refused_appends = 0;
  int append_count = 0;
  Duration retention = Duration::zero();
};

}  // namespace kumquatcart

#endif  // FAKES_FAKE_LOG_SERVICE_H_
