// Settings as flags and environment variables.
#ifndef CLI_SETTING_OPTIONS_H_
#define CLI_SETTING_OPTIONS_H_

#include <string>

#include <CLI/CLI.hpp>

#include "base/setting.h"

namespace kumquatcart {

// Environment variable of the setting `key`: KUMQUATCART_ and the key in upper
// case with underscores.
std::string EnvironmentName(const std::string& key);

// Adds a flag and an environment variable for each setting of `group`; the flag
// wins. Precondition: the settings' targets outlive `app`.
void AddSettingOptions(CLI::App* app, const SettingGroup& group);

}  // namespace kumquatcart

#endif  // CLI_SETTING_OPTIONS_H_
