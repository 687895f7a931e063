// Settings that carry their own key, default, help and check.
//
// A feature keeps its settings in a struct and lists them as Settings bound to
// the struct's fields; the command line turns each into a flag and an
// environment variable.
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
  std::string help;  // Says unit and meaning.
  std::string default_text;
  // Checks the text and stores the value. The error names the key, the value
  // and what is allowed.
  std::function<Status(const std::string& text)> assign;
};

// The settings of one feature, shown together in the help.
struct SettingGroup {
  std::string title;
  std::vector<Setting> settings;
};

// A duration in whole milliseconds from `lowest` to `highest`, stored in
// `*target`, whose present value is the default. Precondition of all four:
// `target` outlives the setting.
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

// Any text; an empty one is refused unless the default is empty.
Setting TextSetting(std::string key, std::string help, std::string* target);

// One of `allowed`.
Setting ChoiceSetting(std::string key,
                      std::string help,
                      std::string* target,
                      std::vector<std::string> allowed);

}  // namespace kumquatcart

#endif  // BASE_SETTING_H_
