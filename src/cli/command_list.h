// The commands that the program ships.
#ifndef CLI_COMMAND_LIST_H_
#define CLI_COMMAND_LIST_H_

#include "cli/command.h"

namespace kumquatcart {

// One object of each command, in the order of the help text.
CommandList MakeCommands();

}  // namespace kumquatcart

#endif  // CLI_COMMAND_LIST_H_
