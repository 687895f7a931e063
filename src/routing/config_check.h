// Checks of a routing configuration before it is put in force.
#ifndef ROUTING_CONFIG_CHECK_H_
#define ROUTING_CONFIG_CHECK_H_

#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "model/routing_config.h"

namespace kumquatcart {

enum class FindingKind {
  kError,       // The entry cannot work.
  kUnused,      // The entry can never match.
  kContradicts  // Two limits of which one makes the other void.
};

// Lower-case name. Thread safe.
const char* ToString(FindingKind kind);

// What is wrong with one entry.
struct ConfigFinding {
  FindingKind kind = FindingKind::kError;
  std::string path;  // Of the entry, such as `routes/name`.
  std::string text;

  auto Tie() const { return std::tie(this->kind, this->path, this->text); }
};

// Returns the findings in the order of the configuration's entries. Routes are
// matched by RouteTable, as those of requests are. Thread safe.
std::vector<ConfigFinding> CheckRoutingConfig(const RoutingConfig& config);

// One line for each entry that `after` adds, removes or changes. API keys are
// counted, not shown. Thread safe.
std::vector<std::string> DescribeDifferences(const RoutingConfig& before,
                                             const RoutingConfig& after);

}  // namespace kumquatcart

#endif  // ROUTING_CONFIG_CHECK_H_
