// `kumquatcart serve`: runs an entry VM.
#ifndef CLI_SERVE_COMMAND_H_
#define CLI_SERVE_COMMAND_H_

#include <string>

#include "cli/command.h"
#include "cli/serve_settings.h"

namespace kumquatcart {

// Serves until SIGTERM or SIGINT, then finishes every request and exits 0.
class ServeCommand : public Command {
 public:
  std::string Name() const override { return "serve"; }
  std::string Help() const override { return "Run an entry VM."; }
  void AddOptions(CLI::App* app) override;
  ExitCode Run(const CommandContext& context) override;

 private:
  ServeSettings settings;
};

}  // namespace kumquatcart

#endif  // CLI_SERVE_COMMAND_H_
