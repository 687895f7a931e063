#include "cli/setting_options.h"

#include <cctype>

namespace kumquatcart {

namespace {

constexpr char kEnvironmentPrefix[] = "KUMQUATCART_";

void AddSettingOption(CLI::App* app,
                      const std::string& title,
                      const Setting& setting) {
  const auto assign = [setting](const std::string& text) {
    const Status assigned = setting.assign(text);
    if (assigned.has_error()) {
      throw CLI::ValidationError("--" + setting.key, assigned.error().message);
    }
  };
  CLI::Option* const option = app->add_option_function<std::string>(
      "--" + setting.key, assign, setting.help);
  option->envname(EnvironmentName(setting.key));
  option->default_str(setting.default_text);
  option->group(title);
}

}  // namespace

std::string EnvironmentName(const std::string& key) {
  std::string name = kEnvironmentPrefix;
  for (const char character : key) {
    const auto upper = std::toupper(static_cast<unsigned char>(character));
    name += character == '-' ? '_' : static_cast<char>(upper);
  }
  return name;
}

void AddSettingOptions(CLI::App* app, const SettingGroup& group) {
  for (const Setting& setting : group.settings) {
    AddSettingOption(app, group.title, setting);
  }
}

}  // namespace kumquatcart
