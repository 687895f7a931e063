#include "cli/command.h"

#include <algorithm>

namespace kumquatcart {

namespace {

constexpr char kProgramName[] = "kumquatcart";
constexpr char kProgramVersion[] = "0.1.0";
constexpr char kProgramDescription[] =
    "Serving system for language models whose replicas span several VMs";

// CLI11 takes arguments last first.
std::vector<std::string> Reversed(std::vector<std::string> arguments) {
  std::reverse(arguments.begin(), arguments.end());
  return arguments;
}

}  // namespace

ExitCode RunCommandLine(const std::vector<std::string>& arguments,
                        const CommandList& commands,
                        const CommandContext& context) {
  CLI::App app(kProgramDescription, kProgramName);
  app.set_version_flag("--version", kProgramVersion);
  app.require_subcommand(1);

  Command* chosen = nullptr;
  for (const std::unique_ptr<Command>& command : commands) {
    CLI::App* const subcommand =
        app.add_subcommand(command->Name(), command->Help());
    command->AddOptions(subcommand);
    subcommand->callback([&chosen, &command] { chosen = command.get(); });
  }

  try {
    app.parse(Reversed(arguments));
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, context.output, context.errors);
    return code == 0 ? ExitCode::kDone : ExitCode::kUsage;
  }
  return chosen->Run(context);
}

}  // namespace kumquatcart
