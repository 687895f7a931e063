// Settings with key, default value, help text and validation.
//
// A feature stores its settings in a struct and declares a Setting for each
// member; each Setting becomes a command-line flag and an environment variable.
#ifndef BASE_SETTING_H_
#define BASE_SETTING_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"

namespace kumquatcart {

// One setting. `key` is kebab-case: the flag is --key, the environment variable
// KUMQUATCART_KEY.
struct Setting {
  std::string key;
  std::string help;  // Describes the meaning and the unit.
  std::string default_text;
  // Validates the text and stores the value. The error message contains the
  // key, the rejected value and the allowed values.
  std::function<Status(const std::string& text)> assign;
};

// The settings of one feature, listed together in the help output.
struct SettingGroup {
  std::string title;
  std::vector<Setting> settings;
};

// A duration in whole milliseconds from `lowest` to `highest`, stored in
// `*target`, whose current value is the default. Precondition of all functions
// below: `target` outlives the setting.
Setting DurationSetting(std::string key,
                        std::string help,
                        Duration* target,
                        Duration lowest,
                        Duration highest);

// A whole number from `lowest` to `highest`.
Setting IntSetting(std::string key,
                   std::string help,
                   std::int64_t* target,
                   std::int64_t lowest,
                   std::int64_t highest);

// A number from `lowest` to `highest`.
Setting NumberSetting(std::string key,
                      std::string help,
                      double* target,
                      double lowest,
                      double highest);

// Any text. Empty text is rejected unless the default is empty.
Setting TextSetting(std::string key, std::string help, std::string* target);

// One of `allowed`.
Setting ChoiceSetting(std::string key,
                      std::string help,
                      std::string* target,
                      std::vector<std::string> allowed);

}  // namespace kumquatcart

#endif  // BASE_SETTING_H_
