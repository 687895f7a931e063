// The command that examines a configuration before it is sent.
#include "cli/config_command.h"

#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "base/clock.h"
#include "base/json.h"

namespace kumquatcart {
namespace {

constexpr char kSound[] = R"({"version": 2,
  "routes": [{"name": "r", "host": "h", "path_prefix": "/x/",
              "kind": "idempotent", "timeout_ms": 4000, "service": "s",
              "public": true}],
  "services": [{"name": "s", "max_connections": 100}]})";

struct Printed {
  ExitCode code = ExitCode::kDone;
  std::string output;
  std::string errors;
};

Printed Check(const std::string& config, std::vector<std::string> options) {
  std::istringstream input(config);
  std::ostringstream output;
  std::ostringstream errors;
  RuntimeClock clock;
  CommandList commands;
  commands.push_back(std::make_unique<ConfigCommand>());
  options.insert(options.begin(), {"config", "check", "-"});
  const ExitCode code =
      RunCommandLine(options, commands, {input, output, errors, clock});
  return {code, output.str(), errors.str()};
}

TEST_CASE("config check says nothing of a sound configuration") {
  const Printed printed = Check(kSound, {});
  CHECK(printed.code == ExitCode::kDone);
  CHECK(printed.output.empty());
}

TEST_CASE("config check prints findings as text and as JSON") {
  std::string config = kSound;
  config.replace(config.find("\"service\": \"s\""), 14, "\"service\": \"t\"");
  const Printed text = Check(config, {});
  CHECK(text.code == ExitCode::kRefused);
  CHECK(text.output ==
        "error routes/r: there is no service t\n"
        "unused services/s: no route uses it\n");
  const Printed json = Check(config, {"--output", "json"});
  CHECK(json.code == ExitCode::kRefused);
  CHECK(Json::parse(json.output).at("findings").size() == 2);
}

// Guards against a file that the program would not accept and that passes.
TEST_CASE("config check names the line of an error of syntax") {
  const Printed printed = Check("{\n\"version\": }", {});
  CHECK(printed.code == ExitCode::kRefused);
  CHECK(printed.errors.find("line 2") != std::string::npos);
}

TEST_CASE("config check has usage errors of its own") {
  CHECK(Check(kSound, {"--output", "xml"}).code == ExitCode::kUsage);
  CHECK(Check(kSound, {"--against", "/absent"}).code == ExitCode::kRefused);
}

}  // namespace
}  // namespace kumquatcart
