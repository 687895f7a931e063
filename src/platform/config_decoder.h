// Decodes the operator's configuration.
#ifndef PLATFORM_CONFIG_DECODER_H_
#define PLATFORM_CONFIG_DECODER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/outcome.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Calls `after_route` after each route. Errors: kInvalidArgument naming what
// cannot be read. Thread safe.
Result<RoutingConfig> DecodeRoutingConfig(
    const std::string& text,
    const std::function<void()>& after_route = [] {});

// Returns the version that the configuration `text` states, without decoding
// the rest; none if there is none. Thread safe.
std::optional<std::int64_t> FindConfigVersion(const std::string& text);

}  // namespace kumquatcart

#endif  // PLATFORM_CONFIG_DECODER_H_
