#include "control/snapshot_parts.h"

#include <utility>

#include "model/config_snapshot.h"

namespace kumquatcart {

namespace {

// Consecutive unexpected parts after which a receiver may restart.
constexpr int kMaxUnexpectedParts = 8;
constexpr std::int64_t kMaxSnapshotTextBytes = 64 << 20;

}  // namespace

SnapshotPart SnapshotSplitter::NextPart(const ConfigView& view,
                                        const SnapshotProgress& progress,
                                        std::size_t max_bytes) {
  std::size_t begin = 0;
  if (this->CanContinue(progress)) {
    begin = static_cast<std::size_t>(progress.received);
  } else if (this->cached_place != view.CurrentPlace()) {
    this->cached_place = view.CurrentPlace();
    // ASCII only, so that a part boundary never splits a character.
    this->cached_text = EncodeSnapshot(view).dump(
        -1, ' ', true, Json::error_handler_t::replace);
  }
  SnapshotPart part;
  part.config_offset = this->cached_place.offset;
  part.begin = static_cast<std::int64_t>(begin);
  part.total = static_cast<std::int64_t>(this->cached_text.size());
  part.text = this->cached_text.substr(begin, max_bytes);
  return part;
}

bool SnapshotSplitter::CanContinue(const SnapshotProgress& progress) const {
  return progress.received > 0 &&
         progress.config_offset == this->cached_place.offset &&
         progress.received <
             static_cast<std::int64_t>(this->cached_text.size());
}

SnapshotProgress SnapshotAssembler::Progress() const {
  return this->progress;
}

std::optional<std::string> SnapshotAssembler::Add(const SnapshotPart& part) {
  const bool follows = part.config_offset == this->progress.config_offset &&
                       part.begin == this->progress.received &&
                       part.total == this->total;
  const bool may_begin =
      part.begin == 0 &&
      (this->text.empty() || this->unexpected_parts >= kMaxUnexpectedParts);
  if (!follows && may_begin) {
    this->Begin(part);
  } else if (!follows) {
    ++this->unexpected_parts;
    return std::nullopt;
  }
  const auto size = static_cast<std::int64_t>(part.text.size());
  if (part.total > kMaxSnapshotTextBytes ||
      size > this->total - this->progress.received) {
    this->Begin(SnapshotPart());
    return std::nullopt;
  }
  this->text += part.text;
  this->progress.received += size;
  this->unexpected_parts = 0;
  if (this->progress.received < this->total) {
    return std::nullopt;
  }
  std::string whole = std::move(this->text);
  this->Begin(SnapshotPart());
  return whole;
}

void SnapshotAssembler::Begin(const SnapshotPart& part) {
  this->progress = {part.config_offset, 0};
  this->total = part.total;
  this->text.clear();
  this->unexpected_parts = 0;
}

}  // namespace kumquatcart
