#include "cli/command.h"

#include <sstream>

#include <catch2/catch.hpp>

#include "cli/setting_options.h"

namespace kumquatcart {
namespace {

class CountingCommand : public Command {
 public:
  std::string Name() const override { return "count"; }
  std::string Help() const override { return "Counts."; }
  void AddOptions(CLI::App* app) override {
    SettingGroup group;
    group.settings = {IntSetting("steps", "Steps.", &this->steps, 1, 9)};
    AddSettingOptions(app, group);
  }
  ExitCode Run(const CommandContext& context) override {
    context.output << this->steps;
    return ExitCode::kRefused;
  }

 private:
  std::int64_t steps = 1;
};

struct RunResult {
  ExitCode code;
  std::string output;
  std::string errors;
};

RunResult RunArguments(const std::vector<std::string>& arguments) {
  CommandList commands;
  commands.push_back(std::make_unique<CountingCommand>());
  std::istringstream input;
  std::ostringstream output;
  std::ostringstream errors;
  ManualClock clock;
  const ExitCode code =
      RunCommandLine(arguments, commands, {input, output, errors, clock});
  return {code, output.str(), errors.str()};
}

TEST_CASE("A command's exit code and settings reach the caller") {
  const RunResult result = RunArguments({"count", "--steps", "7"});
  REQUIRE(result.code == ExitCode::kRefused);
  REQUIRE(result.output == "7");
}

TEST_CASE("Wrong usage is told apart from a refusal") {
  REQUIRE(RunArguments({}).code == ExitCode::kUsage);
  REQUIRE(RunArguments({"fly"}).code == ExitCode::kUsage);
  const RunResult result = RunArguments({"count", "--steps", "10"});
  REQUIRE(result.code == ExitCode::kUsage);
  REQUIRE(result.errors.find("must be a number from 1 to 9") !=
          std::string::npos);
  REQUIRE(RunArguments({"--help"}).code == ExitCode::kDone);
}

}  // namespace
}  // namespace kumquatcart
