// The commands by which operators publish and inspect configuration.
#ifndef CLI_OPERATOR_COMMANDS_H_
#define CLI_OPERATOR_COMMANDS_H_

#include "cli/command.h"
#include "cli/operator_backend.h"

namespace kumquatcart {

// Adds validate, plan, apply, get, status, history and watch.
void AddOperatorCommands(const OperatorBackendFactory& make_backend,
                         CommandList* commands);

namespace internal {

// Writes `message` as one line of errors and returns `code`.
ExitCode Fail(const CommandContext& context,
              ExitCode code,
              const std::string& message);

// Base of the operator commands: the shared options and the backend.
class OperatorCommand : public Command {
 public:
  explicit OperatorCommand(OperatorBackendFactory make_backend);

  void AddOptions(CLI::App* app) override;
  ExitCode Run(const CommandContext& context) override;

 protected:
  // Adds the command's own options.
  virtual void AddOwnOptions(CLI::App* app) = 0;
  // Does the work with the backend made.
  virtual ExitCode RunWith(const CommandContext& context,
                           OperatorBackend* backend) = 0;

  OperatorOptions options;

 private:
  OperatorBackendFactory make_backend;
};

// Each makes one command.
std::unique_ptr<Command> MakeValidateCommand(OperatorBackendFactory factory);
std::unique_ptr<Command> MakePlanCommand(OperatorBackendFactory factory);
std::unique_ptr<Command> MakeApplyCommand(OperatorBackendFactory factory);
std::unique_ptr<Command> MakeGetCommand(OperatorBackendFactory factory);
std::unique_ptr<Command> MakeStatusCommand(OperatorBackendFactory factory);
std::unique_ptr<Command> MakeHistoryCommand(OperatorBackendFactory factory);
std::unique_ptr<Command> MakeWatchCommand(OperatorBackendFactory factory);

}  // namespace internal

}  // namespace kumquatcart

#endif  // CLI_OPERATOR_COMMANDS_H_
