// kumquatcart-soak: real entry VM processes under random faults.
#include <filesystem>
#include <iostream>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/logging.h"
#include "soak/soak_run.h"

namespace {

constexpr int kBroken = 1;

}  // namespace

int main(int argc, char** argv) {
  using kumquatcart::soak::SoakReport;
  using kumquatcart::soak::SoakSettings;
  CLI::App app{
      "Plays faults on entry VM processes and checks what they promise"};
  SoakSettings settings;
  int seconds = 15;
  int seeds = 1;
  bool verbose = false;
  settings.directory = "soak";
  app.add_option("--program", settings.program, "The kumquatcart binary")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--directory", settings.directory,
                 "For logs and settings; one folder a seed");
  app.add_option("--seed", settings.seed, "First seed");
  app.add_option("--seeds", seeds, "Seeds to play, one after the other");
  app.add_option("--seconds", seconds, "Time with faults, of each seed")
      ->check(CLI::Range(1, 3600));
  app.add_option("--entries", settings.entries, "Entry VM processes")
      ->check(CLI::Range(1, 40));
  app.add_option("--engines", settings.engines, "Servers that form groups")
      ->check(CLI::Range(1, 40));
  app.add_option("--group-size", settings.group_size, "Members of each group")
      ->check(CLI::Range(1, 6));
  app.add_option("--callers", settings.callers, "Callers at once")
      ->check(CLI::Range(1, 400));
  app.add_option("--unused-routes", settings.unused_routes,
                 "Routes that enlarge every version of the configuration")
      ->check(CLI::Range(0, 2000));
  app.add_flag("--limits", settings.with_limits, "Servers name rate limits");
  app.add_flag("--backoffs", settings.with_backoffs,
               "Servers reject requests with a Retry-After for some time");
  app.add_flag("--idle-timeouts", settings.with_idle_timeouts,
               "Versions change the idle timeout, callers rest up to it");
  app.add_flag("--framings", settings.with_framings,
               "Servers frame answers in all forms and break some off, some "
               "callers speak HTTP/1.0");
  app.add_flag("--broken-answers", settings.with_broken_answers,
               "Plain servers break off most answers, and all processes are "
               "killed every few seconds");
  app.add_flag("--rebirths", settings.with_rebirths,
               "Servers start again at their addresses, under the same id or "
               "a new one, and servers of the other service get addresses");
  app.add_flag("--crashing-prompts", settings.with_crashing_prompts,
               "Servers end when they begin to answer the prompts of some "
               "callers, and start again under a new id");
  app.add_option("--crash-form", settings.crash_form,
                 "When servers end under these prompts")
      ->transform(CLI::CheckedTransformer(kumquatcart::soak::CrashForms()));
  app.add_option("--crashing-callers", settings.crashing_callers,
                 "Callers with such prompts at once")
      ->check(CLI::Range(1, 40));
  app.add_flag("--silences", settings.with_silences,
               "The store loses reads in silences, before new versions; "
               "no faults of processes, links or servers");
  app.add_flag("--config-changes", settings.with_config_changes,
               "Versions move, split and drop routes and rotate keys, over "
               "three failure domains and paths with late answers");
  app.add_flag("--rollbacks", settings.with_rollbacks,
               "The store comes back from older copies of itself, and servers "
               "leave for long");
  app.add_flag("!--no-eras", settings.names_era,
               "Answers of the store do not name its era");
  app.add_flag("--calm", settings.is_calm,
               "No faults but those of the other flags");
  app.add_flag("--verbose", verbose, "Prints each fault as it begins");
  CLI11_PARSE(app, argc, argv);
  kumquatcart::ConfigureLogging(
      verbose ? kumquatcart::LogLevel::kInfo : kumquatcart::LogLevel::kError,
      kumquatcart::LogFormat::kKeyValue);
  settings.length = std::chrono::seconds(seconds);
  const std::string base = settings.directory;
  bool any_broken = false;
  for (int i = 0; i < seeds; ++i, ++settings.seed) {
    settings.directory = fmt::format("{}/{}", base, settings.seed);
    std::filesystem::remove_all(settings.directory);
    std::filesystem::create_directories(settings.directory);
    const SoakReport report = kumquatcart::soak::RunSoak(settings);
    std::cout << fmt::format(
        "seed {}: {} faults, {} served, {} refused, {} failed, {} told to "
        "wait, {} ended under prompts, {} bound to versions, {} of {} repeats "
        "in the fullest window, {} given too long, {} broken\n",
        settings.seed, report.faults, report.served, report.refused,
        report.failed, report.told_to_wait, report.ended_under_prompts,
        report.config_answers, report.repeats.repeats, report.repeats.allowed,
        report.given_too_long, report.broken.size());
    if (settings.with_rollbacks) {
      std::cout << fmt::format(
          "  {} rollbacks, most calls of the store in a second {}, median {}\n",
          report.rollbacks, report.most_store_calls, report.median_store_calls);
    }
    for (const std::string& what : report.broken) {
      std::cout << "  " << what << '\n';
    }
    std::cout.flush();
    any_broken = any_broken || !report.broken.empty();
  }
  return any_broken ? kBroken : 0;
}
