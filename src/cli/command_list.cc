#include "cli/command_list.h"

#include "cli/config_command.h"
#include "cli/entry_command.h"
#include "cli/explain_command.h"
#include "cli/operator_commands.h"
#include "cli/serve_command.h"

namespace kumquatcart {

CommandList MakeCommands() {
  CommandList commands;
  commands.push_back(std::make_unique<ServeCommand>());
  commands.push_back(std::make_unique<EntryCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  commands.push_back(std::make_unique<ConfigCommand>());
  AddOperatorCommands(MakeHttpOperatorBackend, &commands);
  return commands;
}

}  // namespace kumquatcart
