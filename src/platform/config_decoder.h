// Decodes the operator's configuration.
#ifndef PLATFORM_CONFIG_DECODER_H_
#define PLATFORM_CONFIG_DECODER_H_

#include <functional>
#include <string>

#include "base/outcome.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Calls `after_route` after each route. Errors: kInvalidArgument naming what
// cannot be read. Thread safe.
Result<RoutingConfig> DecodeRoutingConfig(
    const std::string& text,
    const std::function<void()>& after_route = [] {});

}  // namespace kumquatcart

#endif  // PLATFORM_CONFIG_DECODER_H_
