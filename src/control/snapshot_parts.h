// Snapshots cut into parts that fit a peer message.
#ifndef CONTROL_SNAPSHOT_PARTS_H_
#define CONTROL_SNAPSHOT_PARTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "model/config_view.h"
#include "model/log_record.h"

namespace kumquatcart {

// One part of the text of a snapshot. The text depends on the view alone, so
// parts from several peers at the same offset fit together.
struct SnapshotPart {
  Offset config_offset = kNoOffset;
  std::int64_t begin = 0;  // Position of the part's first byte.
  std::int64_t total = 0;  // Bytes of the whole text.
  std::string text;

  auto Tie() const {
    return std::tie(this->config_offset, this->begin, this->total, this->text);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotPart,
                                   config_offset,
                                   begin,
                                   total,
                                   text)

// What a node has received of a snapshot.
struct SnapshotProgress {
  Offset config_offset = kNoOffset;  // Zero: nothing.
  std::int64_t received = 0;         // Bytes.

  auto Tie() const { return std::tie(this->config_offset, this->received); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotProgress, config_offset, received)

// Cuts snapshots. Keeps the text of the last one, so that a receiver can finish
// it after the view has moved on. Not thread safe.
class SnapshotSplitter {
 public:
  // The next part for a receiver that has `progress`: of the snapshot it has
  // begun when that is kept, else the first part of `view`. `max_bytes` bounds
  // the text.
  SnapshotPart NextPart(const ConfigView& view,
                        const SnapshotProgress& progress,
                        std::size_t max_bytes);

  // Whether `progress` can be continued.
  bool CanContinue(const SnapshotProgress& progress) const;

 private:
  Offset cached_offset = kNoOffset;
  std::string cached_text;
};

// Joins parts in order. Not thread safe.
class SnapshotAssembler {
 public:
  SnapshotProgress Progress() const;

  // Takes the part that follows; others are ignored, but after several that
  // don't fit it begins anew with the next first part. Returns the whole text
  // once it is there.
  std::optional<std::string> Add(const SnapshotPart& part);

 private:
  void Begin(const SnapshotPart& part);

  SnapshotProgress progress;
  std::int64_t total = 0;
  std::string text;
  int unexpected_parts = 0;
};

}  // namespace kumquatcart

#endif  // CONTROL_SNAPSHOT_PARTS_H_
