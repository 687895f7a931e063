#include "base/setting.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace kumquatcart {

namespace {

template <class Number>
Status ParseNumber(const std::string& key,
                   const std::string& text,
                   Number lowest,
                   Number highest,
                   Number* number) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *number);
  const bool whole_text = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole_text || *number < lowest || *number > highest) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("setting '{}' is '{}', but must be a number from {} to {}",
                    key, text, lowest, highest));
  }
  return Ok();
}

template <class Number>
Setting MakeNumberSetting(std::string key,
                          std::string help,
                          Number* target,
                          Number lowest,
                          Number highest) {
  Setting setting;
  setting.key = key;
  setting.help = std::move(help);
  setting.default_text = fmt::format("{}", *target);
  setting.assign = [key = std::move(key), target, lowest,
                    highest](const std::string& text) {
    Number number{};
    Status parsed = ParseNumber(key, text, lowest, highest, &number);
    if (parsed.has_value()) {
      *target = number;
    }
    return parsed;
  };
  return setting;
}

}  // namespace

Setting DurationSetting(std::string key,
                        std::string help,
                        Duration* target,
                        Duration lowest,
                        Duration highest) {
  Setting setting;
  setting.key = key;
  setting.help = std::move(help);
  setting.default_text = fmt::format("{}", ToMillis(*target));
  setting.assign = [key = std::move(key), target, lowest,
                    highest](const std::string& text) {
    std::int64_t millis = 0;
    Status parsed =
        ParseNumber(key, text, ToMillis(lowest), ToMillis(highest), &millis);
    if (parsed.has_value()) {
      *target = std::chrono::milliseconds(millis);
    }
    return parsed;
  };
  return setting;
}

Setting IntSetting(std::string key,
                   std::string help,
                   std::int64_t* target,
                   std::int64_t lowest,
                   std::int64_t highest) {
  return MakeNumberSetting(std::move(key), std::move(help), target, lowest,
                           highest);
}

Setting NumberSetting(std::string key,
                      std::string help,
                      double* target,
                      double lowest,
                      double highest) {
  return MakeNumberSetting(std::move(key), std::move(help), target, lowest,
                           highest);
}

Setting TextSetting(std::string key, std::string help, std::string* target) {
  Setting setting;
  setting.key = key;
  setting.help = std::move(help);
  setting.default_text = *target;
  const bool allow_empty = target->empty();
  setting.assign = [key = std::move(key), target,
                    allow_empty](const std::string& text) -> Status {
    if (text.empty() && !allow_empty) {
      return MakeError(
          ErrorCode::kInvalidArgument,
          fmt::format("setting '{}' is empty, but must be a text", key));
    }
    *target = text;
    return Ok();
  };
  return setting;
}

Setting ChoiceSetting(std::string key,
                      std::string help,
                      std::string* target,
                      std::vector<std::string> allowed) {
  Setting setting;
  setting.key = key;
  setting.help = std::move(help);
  setting.default_text = *target;
  setting.assign = [key = std::move(key), target, allowed = std::move(allowed)](
                       const std::string& text) -> Status {
    if (std::find(allowed.begin(), allowed.end(), text) == allowed.end()) {
      return MakeError(
          ErrorCode::kInvalidArgument,
          fmt::format("setting '{}' is '{}', but must be one of {}", key, text,
                      fmt::join(allowed, ", ")));
    }
    *target = text;
    return Ok();
  };
  return setting;
}

}  // namespace kumquatcart
