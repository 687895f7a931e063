#include "cli/operator_options.h"

#include <charconv>
#include <sstream>

namespace kumquatcart {

namespace {

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  bool holds = colon != std::string::npos && colon > 0;
  if (holds) {
    endpoint.host = text.substr(0, colon);
    const char* const begin = text.data() + colon + 1;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(begin, end, endpoint.port);
    holds = parsed.ec == std::errc() && parsed.ptr == end && endpoint.port > 0;
  }
  if (!holds) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "node '" + text +
                         "' must be an address and a port, such "
                         "as 127.0.0.1:8080");
  }
  return endpoint;
}

}  // namespace

SettingGroup DescribeSettings(OperatorOptions* options) {
  SettingGroup group;
  group.title = "Operator";
  group.settings = {
      TextSetting("platform-url", "Base URL of the platform's services.",
                  &options->platform_url),
      TextSetting("nodes",
                  "HTTP addresses of entry VMs, as host:port,host:port.",
                  &options->nodes),
      TextSetting("actor", "Your name in the audit trail.", &options->actor),
      TextSetting("partner",
                  "Partner on whose behalf you publish; by default the owner "
                  "of the objects.",
                  &options->partner),
      ChoiceSetting("output", "Output format: table or json.", &options->output,
                    {kTableOutput, kJsonOutput}),
  };
  return group;
}

Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(part));
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

}  // namespace kumquatcart
