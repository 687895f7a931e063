#include "cli/command_list.h"

#include "cli/operator_commands.h"

namespace kumquatcart {

CommandList MakeCommands() {
  CommandList commands;
  AddOperatorCommands(MakeHttpOperatorBackend, &commands);
  return commands;
}

}  // namespace kumquatcart
