// The command `explain`.
#ifndef CLI_EXPLAIN_COMMAND_H_
#define CLI_EXPLAIN_COMMAND_H_

#include <string>

#include "cli/command.h"

namespace kumquatcart {

// Reads logs of entry VMs from the input and tells what happened to a request.
class ExplainCommand : public Command {
 public:
  std::string Name() const override { return "explain"; }
  std::string Help() const override {
    return "Tell from logs on standard input what happened to a request";
  }
  void AddOptions(CLI::App* app) override;
  // kRefused where the log says nothing of the request.
  ExitCode Run(const CommandContext& context) override;

 private:
  std::string request_id;
};

}  // namespace kumquatcart

#endif  // CLI_EXPLAIN_COMMAND_H_
