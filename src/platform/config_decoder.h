// Decodes the operator's configuration.
#ifndef PLATFORM_CONFIG_DECODER_H_
#define PLATFORM_CONFIG_DECODER_H_

#include <string>

#include "base/outcome.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Errors: kInvalidArgument naming what cannot be read. Thread safe.
Result<RoutingConfig> DecodeRoutingConfig(const std::string& text);

}  // namespace kumquatcart

#endif  // PLATFORM_CONFIG_DECODER_H_
