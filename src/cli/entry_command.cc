#include "cli/entry_command.h"

#include "base/logging.h"
#include "cli/setting_options.h"
#include "entry/entry_process.h"

namespace kumquatcart {

namespace {

// Largest number of log lines a second that may be configured.
constexpr std::int64_t kMostLogLines = 100'000;

}  // namespace

void EntryCommand::AddOptions(CLI::App* app) {
  SettingGroup group;
  group.title = "Entry VM on the platform";
  group.settings.push_back(
      TextSetting("settings", "File with the settings of this process, as JSON",
                  &this->settings_path));
  group.settings.push_back(ChoiceSetting(
      "entry-log-format", "Format of the lines on standard output",
      &this->log_format, {"text", "json"}));
  group.settings.push_back(IntSetting(
      "log-lines", "Log lines a second; more are counted and dropped",
      &this->log_lines, 1, kMostLogLines));
  AddSettingOptions(app, group);
}

ExitCode EntryCommand::Run(const CommandContext& context) {
  ConfigureLogging(LogLevel::kInfo, this->log_format == "json"
                                        ? LogFormat::kJson
                                        : LogFormat::kKeyValue);
  LogToStandardOutput(static_cast<int>(this->log_lines));
  const Result<ProcessSettings> settings =
      ReadProcessSettings(this->settings_path);
  if (settings.has_error()) {
    context.errors << settings.error().message << '\n';
    return ExitCode::kUsage;
  }
  const Status memory = CheckMemory(settings.value());
  if (memory.has_error()) {
    context.errors << memory.error().message << '\n';
    return ExitCode::kUsage;
  }
  EntryProcess process(settings.value(), this->settings_path);
  const Status started = process.Start();
  if (started.has_error()) {
    context.errors << started.error().message << '\n';
    return ExitCode::kRefused;
  }
  process.Run();
  return ExitCode::kDone;
}

}  // namespace kumquatcart
