// Reads IP addresses with ports from text.
#ifndef MODEL_ENDPOINT_PARSER_H_
#define MODEL_ENDPOINT_PARSER_H_

#include <string>
#include <vector>

#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart {

// Reads "address:port". Errors: kInvalidArgument. Thread safe.
Result<Endpoint> ParseEndpoint(const std::string& text);

// Reads endpoints separated by commas; an empty text gives none. Errors:
// kInvalidArgument naming the part that is malformed. Thread safe.
Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text);

}  // namespace kumquatcart

#endif  // MODEL_ENDPOINT_PARSER_H_
