// Sends an open-loop load to entry VMs and checks every answer.
#include <chrono>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "base/json.h"
#include "base/logging.h"
#include "load/caller_file.h"
#include "load/execution_check.h"
#include "load/http_call.h"
#include "load/runner.h"
#include "load/status_sampler.h"
#include "load/summary.h"

namespace kumquatcart::load {
namespace {

struct Options {
  std::vector<std::string> entries;
  std::string platform;
  std::string caller_file;
  std::string output = "text";
  double duration_s = 10;
  double least_completed = 0;
  std::int64_t timeout_ms = 10000;
  LoadSettings settings;
};

void AddOptions(CLI::App* app, Options* options) {
  LoadSettings& settings = options->settings;
  app->option_defaults()->always_capture_default();
  app->add_option("--entry", options->entries, "IP:PORT of an entry VM")
      ->required();
  app->add_option("--platform", options->platform,
                  "IP:PORT of the stand-ins, to check execution counts");
  app->add_option("--callers", options->caller_file,
                  "JSON file of organisations and tokens")
      ->required()
      ->check(CLI::ExistingFile);
  app->add_option("--rate", settings.requests_per_second, "Requests a second")
      ->check(CLI::PositiveNumber);
  app->add_option("--duration-s", options->duration_s, "Seconds of load")
      ->check(CLI::PositiveNumber);
  app->add_option("--seed", settings.seed, "Seed of the plan");
  app->add_option("--max-tokens", settings.max_tokens, "Tokens of each answer")
      ->check(CLI::PositiveNumber);
  app->add_option("--prompt-prefixes", settings.prompt_prefixes,
                  "Distinct prompt prefixes")
      ->check(CLI::PositiveNumber);
  app->add_option("--repeated-part", settings.repeated_part,
                  "Part of the keyed requests sent again through another entry "
                  "VM")
      ->check(CLI::Range(0.0, 1.0));
  app->add_option("--mix-streamed", settings.mix.streamed, "Weight");
  app->add_option("--mix-whole", settings.mix.whole, "Weight");
  app->add_option("--mix-idempotent", settings.mix.idempotent, "Weight");
  app->add_option("--mix-non-idempotent", settings.mix.non_idempotent,
                  "Weight");
  app->add_option("--mix-keyed", settings.mix.keyed, "Weight");
  app->add_option("--timeout-ms", options->timeout_ms,
                  "Longest silence of an entry VM")
      ->check(CLI::PositiveNumber);
  app->add_option("--least-completed", options->least_completed,
                  "Part of each kind of request that must be completed")
      ->check(CLI::Range(0.0, 1.0));
  app->add_option("--workers", settings.workers, "Requests at once at most")
      ->check(CLI::PositiveNumber);
  app->add_option("--output", options->output, "Form of the summary")
      ->check(CLI::IsMember({"text", "json"}));
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const int port =
      colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  if (port <= 0 || port > UINT16_MAX) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "must be IP:PORT, got " + text);
  }
  return Endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Status CompleteSettings(Options* options) {
  LoadSettings& settings = options->settings;
  for (const std::string& entry : options->entries) {
    BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(entry));
    settings.entries.push_back(endpoint);
  }
  if (!options->platform.empty()) {
    BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(options->platform));
    settings.platform = endpoint;
  }
  settings.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(options->duration_s));
  settings.timeout = std::chrono::milliseconds(options->timeout_ms);
  return Ok();
}

ExecutionFindings FetchFindings(const LoadSettings& settings,
                                const RunRecord& record) {
  if (settings.platform.port == 0) {
    return {};
  }
  const CallRequest call{settings.platform, "GET", "/executions", {}, "",
                         settings.timeout};
  const Result<CallAnswer> answer = Call(call, [](std::string_view) {});
  if (!answer.has_value() || !answer.value().whole) {
    return {};
  }
  const auto counts =
      DecodeJson<standins::ExecutionCounts>(answer.value().body);
  return counts.has_value() ? CheckExecutions(record.Sent(), counts.value())
                            : ExecutionFindings{};
}

Result<Summary> Run(Options options) {
  BOOST_OUTCOME_TRYV(CompleteSettings(&options));
  BOOST_OUTCOME_TRY(callers, ReadCallers(options.caller_file));
  const LoadSettings& settings = options.settings;
  constexpr std::size_t kRunNameLength = 8;
  const std::string run = MakeRandomId().substr(0, kRunNameLength);
  const std::vector<PlannedRequest> plan = PlanRequests(settings, callers, run);
  RuntimeClock clock;
  RunRecord record;
  StatusSampler sampler(&settings, &clock);
  RunLoad(settings, callers, plan, &clock, &record);
  sampler.Stop();
  return Summarise(
      record, FetchFindings(settings, record), sampler.Usage(),
      PassMarks{settings.platform.port != 0, options.least_completed});
}

}  // namespace
}  // namespace kumquatcart::load

int main(int argc, char** argv) {
  CLI::App app("Open-loop load on entry VMs that checks every answer");
  kumquatcart::load::Options options;
  kumquatcart::load::AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  const auto summary = kumquatcart::load::Run(options);
  if (!summary.has_value()) {
    kumquatcart::LogError("load_failed", {{"error", summary.error().message}});
    return 2;
  }
  fmt::print("{}", options.output == "json"
                       ? summary.value().report.dump(2) + "\n"
                       : RenderText(summary.value()));
  const bool passed =
      summary.value().promises_held && summary.value().enough_completed;
  return passed ? 0 : 1;
}
