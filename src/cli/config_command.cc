#include "cli/config_command.h"

#include <fstream>
#include <iterator>
#include <optional>

#include "base/json.h"
#include "platform/config_decoder.h"
#include "routing/config_check.h"

namespace kumquatcart {

namespace {

constexpr char kExamples[] =
    "Examples:\n"
    "  kumquatcart config check next.json\n"
    "  kumquatcart config check next.json --against in-force.json\n"
    "  kumquatcart config check - --output json < next.json\n"
    "Exit code: 0 nothing was found, 1 findings or an unreadable file, 2 wrong "
    "usage.";

// Reads and decodes `file`; `-` is the input. Writes a line of errors and
// returns none if that fails.
std::optional<RoutingConfig> ReadConfig(const std::string& file,
                                        const CommandContext& context) {
  std::ifstream opened;
  std::istream* input = &context.input;
  if (file != "-") {
    opened.open(file);
    if (!opened) {
      context.errors << file << ": cannot be read\n";
      return std::nullopt;
    }
    input = &opened;
  }
  const std::string text(std::istreambuf_iterator<char>(*input), {});
  Result<RoutingConfig> config = DecodeRoutingConfig(text);
  if (config.has_error()) {
    context.errors << file << ": " << config.error().message << '\n';
    return std::nullopt;
  }
  return std::move(config).value();
}

void WriteText(const std::vector<ConfigFinding>& findings,
               const std::vector<std::string>& differences,
               std::ostream* output) {
  for (const ConfigFinding& finding : findings) {
    *output << ToString(finding.kind) << ' ' << finding.path << ": "
            << finding.text << '\n';
  }
  for (const std::string& line : differences) {
    *output << line << '\n';
  }
}

void WriteJson(const std::vector<ConfigFinding>& findings,
               const std::vector<std::string>& differences,
               std::ostream* output) {
  Json json{{"findings", Json::array()}, {"differences", differences}};
  for (const ConfigFinding& finding : findings) {
    json["findings"].push_back({{"kind", ToString(finding.kind)},
                                {"path", finding.path},
                                {"text", finding.text}});
  }
  *output << json.dump(2) << '\n';
}

}  // namespace

void ConfigCommand::AddOptions(CLI::App* app) {
  CLI::App* check = app->add_subcommand(
      "check",
      "Find errors, entries that can never match and limits that contradict "
      "each other");
  app->require_subcommand(1);
  check
      ->add_option("file", this->file,
                   "The configuration; - reads standard input")
      ->required();
  check->add_option("--against", this->against,
                    "A configuration, such as the one in force, from which "
                    "differences are listed");
  check->add_option("--output", this->output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  check->footer(kExamples);
}

ExitCode ConfigCommand::Run(const CommandContext& context) {
  const std::optional<RoutingConfig> config = ReadConfig(this->file, context);
  if (!config) {
    return ExitCode::kRefused;
  }
  std::vector<std::string> differences;
  if (!this->against.empty()) {
    const std::optional<RoutingConfig> former =
        ReadConfig(this->against, context);
    if (!former) {
      return ExitCode::kRefused;
    }
    differences = DescribeDifferences(*former, *config);
  }
  const std::vector<ConfigFinding> findings = CheckRoutingConfig(*config);
  (this->output == "json" ? WriteJson : WriteText)(findings, differences,
                                                   &context.output);
  return findings.empty() ? ExitCode::kDone : ExitCode::kRefused;
}

}  // namespace kumquatcart
