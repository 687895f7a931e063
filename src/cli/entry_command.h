// The command `entry`.
#ifndef CLI_ENTRY_COMMAND_H_
#define CLI_ENTRY_COMMAND_H_

#include <string>

#include "base/setting.h"
#include "cli/command.h"

namespace kumquatcart {

// Runs the process of an entry VM on the platform until it is told to stop.
class EntryCommand : public Command {
 public:
  std::string Name() const override { return "entry"; }
  std::string Help() const override {
    return "Run an entry VM on the platform";
  }
  void AddOptions(CLI::App* app) override;
  ExitCode Run(const CommandContext& context) override;

 private:
  std::string settings_path = "/etc/kumquatcart/local.json";
  std::string log_format = "text";
  std::int64_t log_lines = 400;
};

}  // namespace kumquatcart

#endif  // CLI_ENTRY_COMMAND_H_
