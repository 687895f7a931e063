// One subcommand of the program.
#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

#include <istream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "base/clock.h"

namespace kumquatcart {

// What the program's exit status tells the operator.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,  // The reason is on standard error.
  kUsage = 2,
  kUnknown = 3,  // The change may have taken effect; the command that settles
                 // it is on standard error.
};

// Streams and time that a command uses. The referents outlive the command.
struct CommandContext {
  std::istream& input;
  std::ostream& output;
  std::ostream& errors;
  Clock& clock;
};

// A subcommand. Used from one thread.
class Command {
 public:
  virtual ~Command() = default;

  // Word on the command line, unique over all commands.
  virtual std::string Name() const = 0;

  // One line for the list of commands.
  virtual std::string Help() const = 0;

  // Binds options to this object's fields. Called once, before Run.
  virtual void AddOptions(CLI::App* app) = 0;

  // Does the work after the options were parsed.
  virtual ExitCode Run(const CommandContext& context) = 0;
};

using CommandList = std::vector<std::unique_ptr<Command>>;

// Parses `arguments` (without the program's name) and runs the command they
// name. Usage errors are written to `context.errors`.
ExitCode RunCommandLine(const std::vector<std::string>& arguments,
                        const CommandList& commands,
                        const CommandContext& context);

}  // namespace kumquatcart

#endif  // CLI_COMMAND_H_
