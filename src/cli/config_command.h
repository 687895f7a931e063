// The command `config`.
#ifndef CLI_CONFIG_COMMAND_H_
#define CLI_CONFIG_COMMAND_H_

#include <string>

#include "cli/command.h"

namespace kumquatcart {

// `config check FILE` examines a routing configuration before it is sent.
class ConfigCommand : public Command {
 public:
  std::string Name() const override { return "config"; }
  std::string Help() const override {
    return "Check a routing configuration before it is sent";
  }
  void AddOptions(CLI::App* app) override;
  // kDone without findings; kRefused with some, or if a file cannot be read.
  ExitCode Run(const CommandContext& context) override;

 private:
  std::string file;
  std::string against;  // Empty: no comparison.
  std::string output = "text";
};

}  // namespace kumquatcart

#endif  // CLI_CONFIG_COMMAND_H_
