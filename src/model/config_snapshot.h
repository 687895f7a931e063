// Snapshots of the configuration in force.
#ifndef MODEL_CONFIG_SNAPSHOT_H_
#define MODEL_CONFIG_SNAPSHOT_H_

#include <string>

#include "base/json.h"
#include "model/config_view.h"

namespace kumquatcart {

// The whole view with a SHA-256 digest of its contents. The text depends on the
// view alone. Thread safe.
Json EncodeSnapshot(const ConfigView& view);

// Reads a snapshot from outside. Fails with kInvalidArgument when it is
// malformed, an object breaks its schema or the digest differs. Thread safe.
Result<ConfigView> DecodeSnapshot(const Json& json);

// The same from text, within bounds of size and nesting.
Result<ConfigView> DecodeSnapshotText(const std::string& text);

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_SNAPSHOT_H_
