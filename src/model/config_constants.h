// Limits of the configuration.
#ifndef MODEL_CONFIG_CONSTANTS_H_
#define MODEL_CONFIG_CONSTANTS_H_

#include <cstddef>

namespace kumquatcart {

// Version of the change set and snapshot formats.
constexpr int kConfigFormatVersion = 1;

// Longest change set record in bytes.
constexpr std::size_t kMaxChangeSetBytes = 1 << 20;

// Deepest nesting of JSON arrays and objects in a record.
constexpr int kMaxJsonDepth = 16;

// Most changes in one change set.
constexpr std::size_t kMaxChangesPerChangeSet = 2000;

// Longest object, partner or actor name in characters.
constexpr std::size_t kMaxNameLength = 63;

// Longest free text, such as a display name, in bytes.
constexpr std::size_t kMaxTextBytes = 200;

// Longest value quoted in an error, in bytes.
constexpr std::size_t kMaxQuotedValueBytes = 80;

// Most VMs in one replica group.
constexpr int kMaxVmsPerGroup = 64;

// Most accelerators in one VM.
constexpr int kMaxAcceleratorsPerVm = 64;

// Most replicas of one model service in one failure domain.
constexpr int kMaxReplicasPerFailureDomain = 10'000;

// Most accelerators that one placement intent may ask for in one failure
// domain.
constexpr long kMaxAcceleratorsPerFailureDomain = 100'000;

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_CONSTANTS_H_
