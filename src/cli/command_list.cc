#include "cli/command_list.h"

namespace kumquatcart {

CommandList MakeCommands() {
  CommandList commands;
  return commands;
}

}  // namespace kumquatcart
