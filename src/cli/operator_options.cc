#include "cli/operator_options.h"

namespace kumquatcart {

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

}  // namespace kumquatcart
