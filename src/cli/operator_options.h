// Options that the operator commands share.
#ifndef CLI_OPERATOR_OPTIONS_H_
#define CLI_OPERATOR_OPTIONS_H_

#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "base/setting.h"
#include "model/endpoint_parser.h"
#include "model/vm.h"

namespace kumquatcart {

inline constexpr char kTableOutput[] = "table";
inline constexpr char kJsonOutput[] = "json";

struct OperatorOptions {
  std::string platform_url = "http://127.0.0.1:18000";
  std::string nodes = "127.0.0.1:8080";  // HTTP endpoints, comma separated.
  std::string actor = "operator";
  std::string partner;  // Empty: the owner named in the files.
  std::string output = kTableOutput;

  bool IsJson() const { return this->output == kJsonOutput; }
};

// Precondition: `options` outlives the result.
SettingGroup DescribeSettings(OperatorOptions* options);

}  // namespace kumquatcart

#endif  // CLI_OPERATOR_OPTIONS_H_
