#include <iostream>
#include <string>
#include <vector>

#include "cli/command_list.h"

int main(int argc, char** argv) {
  kumquatcart::RuntimeClock clock;
  const kumquatcart::CommandContext context{std::cin, std::cout, std::cerr,
                                            clock};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const kumquatcart::ExitCode code = kumquatcart::RunCommandLine(
      arguments, kumquatcart::MakeCommands(), context);
  return static_cast<int>(code);
}
