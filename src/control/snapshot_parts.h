// Snapshots split into parts that fit a peer message.
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

// One part of the text of a snapshot. The text depends only on the view, so
// that parts from several peers at the same offset can be combined.
struct SnapshotPart {
  Offset config_offset = kNoOffset;
  std::int64_t begin = 0;  // Byte offset of the part in the text.
  std::int64_t total = 0;  // Size of the whole text in bytes.
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

// How much of a snapshot a node has received.
struct SnapshotProgress {
  Offset config_offset = kNoOffset;  // Zero: none.
  std::int64_t received = 0;         // Bytes.

  auto Tie() const { return std::tie(this->config_offset, this->received); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotProgress, config_offset, received)

// Splits snapshots into parts. Caches the text of the last snapshot, so that a
// receiver can complete it after the view has changed. Not thread safe.
class SnapshotSplitter {
 public:
  // Returns the next part for a receiver at `progress`: of the snapshot that it
  // is receiving if that one is cached, otherwise the first part of a snapshot
  // of `view`. `max_bytes` bounds the part's text.
  SnapshotPart NextPart(const ConfigView& view,
                        const SnapshotProgress& progress,
                        std::size_t max_bytes);

  // Returns whether the cached snapshot can be continued from `progress`.
  bool CanContinue(const SnapshotProgress& progress) const;

 private:
  LogPlace cached_place;
  std::string cached_text;
};

// Assembles a snapshot from parts in order. Not thread safe.
class SnapshotAssembler {
 public:
  SnapshotProgress Progress() const;

  // Appends the next part in order; other parts are ignored. After several
  // unexpected parts in a row, the next first part restarts the assembly.
  // Returns the whole text once it is complete.
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
