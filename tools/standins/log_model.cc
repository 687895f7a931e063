#include "standins/log_model.h"

#include <algorithm>
#include <chrono>

namespace kumquatcart::standins {

namespace {

// Appends that may come at once after a quiet time, in seconds of the rate.
constexpr double kBurstSeconds = 0.25;

}  // namespace

LogModel::LogModel(const LogSettings& settings, MonotonicTime now)
    : settings(settings),
      append_tokens(settings.appends_per_second * kBurstSeconds),
      refilled_at(now) {}

bool LogModel::TakeAppendToken(MonotonicTime now) {
  const double elapsed =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  this->append_tokens = std::min(
      this->settings.appends_per_second * kBurstSeconds,
      this->append_tokens + elapsed * this->settings.appends_per_second);
  if (this->append_tokens < 1) {
    return false;
  }
  this->append_tokens -= 1;
  return true;
}

Result<Offset> LogModel::Append(const StreamName& stream,
                                const AppendId& append_id,
                                const std::string& payload,
                                MonotonicTime now,
                                std::int64_t unix_ms) {
  if (!this->TakeAppendToken(now)) {
    return MakeError(ErrorCode::kExhausted, "append rate limit reached");
  }
  Stream& target = this->streams[stream];
  ++target.last;
  target.entries.push_back(
      Entry{LogRecord{target.last, unix_ms, append_id, payload}, now});
  return target.last;
}

Offset LogModel::FirstRetainedOf(const Stream& stream) {
  return stream.entries.empty() ? stream.last + 1
                                : stream.entries.front().record.offset;
}

Offset LogModel::FirstRetained(const StreamName& stream) {
  return FirstRetainedOf(this->streams[stream]);
}

Result<LogBatch> LogModel::Read(const StreamName& stream,
                                Offset from,
                                std::size_t max_records) {
  const Stream& source = this->streams[stream];
  LogBatch batch;
  batch.first_retained = FirstRetainedOf(source);
  batch.last = source.last;
  if (from < batch.first_retained) {
    return MakeError(
        ErrorCode::kExpired,
        "first retained offset is " + std::to_string(batch.first_retained));
  }
  const auto skipped = static_cast<std::size_t>(from - batch.first_retained);
  for (std::size_t index = skipped;
       index < source.entries.size() && batch.records.size() < max_records;
       ++index) {
    batch.records.push_back(source.entries[index].record);
  }
  return batch;
}

void LogModel::ExpireBelow(const StreamName& stream, Offset first_retained) {
  std::deque<Entry>& entries = this->streams[stream].entries;
  while (!entries.empty() && entries.front().record.offset < first_retained) {
    entries.pop_front();
  }
}

void LogModel::ExpireOld(MonotonicTime now) {
  const MonotonicTime oldest = now - this->settings.retention;
  for (auto& [name, stream] : this->streams) {
    while (!stream.entries.empty() &&
           stream.entries.front().appended_at < oldest) {
      stream.entries.pop_front();
    }
  }
}

}  // namespace kumquatcart::standins
