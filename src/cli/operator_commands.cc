#include "cli/operator_commands.h"

#include <exception>
#include <utility>

#include "cli/setting_options.h"

namespace kumquatcart {

namespace internal {

ExitCode Fail(const CommandContext& context,
              ExitCode code,
              const std::string& message) {
  context.errors << message << "\n";
  return code;
}

OperatorCommand::OperatorCommand(OperatorBackendFactory make_backend)
    : make_backend(std::move(make_backend)) {}

void OperatorCommand::AddOptions(CLI::App* app) {
  AddSettingOptions(app, DescribeSettings(&this->options));
  this->AddOwnOptions(app);
}

ExitCode OperatorCommand::Run(const CommandContext& context) {
  std::unique_ptr<OperatorBackend> backend;
  try {
    backend = this->make_backend(this->options, &context.clock);
  } catch (const std::exception& error) {
    return Fail(context, ExitCode::kUsage,
                "platform-url '" + this->options.platform_url +
                    "' can't be used: " + error.what());
  }
  return this->RunWith(context, backend.get());
}

}  // namespace internal

void AddOperatorCommands(const OperatorBackendFactory& make_backend,
                         CommandList* commands) {
  commands->push_back(internal::MakeValidateCommand(make_backend));
  commands->push_back(internal::MakePlanCommand(make_backend));
  commands->push_back(internal::MakeApplyCommand(make_backend));
  commands->push_back(internal::MakeGetCommand(make_backend));
  commands->push_back(internal::MakeStatusCommand(make_backend));
  commands->push_back(internal::MakeHistoryCommand(make_backend));
  commands->push_back(internal::MakeWatchCommand(make_backend));
}

}  // namespace kumquatcart
