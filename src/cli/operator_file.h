// Files in which operators write configuration objects.
#ifndef CLI_OPERATOR_FILE_H_
#define CLI_OPERATOR_FILE_H_

#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/change_set.h"

namespace kumquatcart {

// The changes that a set of files asks for.
struct OperatorChanges {
  std::vector<ObjectChange> changes;
  // Names of the objects whose expected revision the file gives.
  std::set<ObjectName> with_revision;
  // The file that names each object, by "Kind/name".
  std::map<std::string, std::string> file_of;
  // Malformed entries as written, so that the judge knows their names.
  Json malformed_puts = Json::array();
  Json malformed_deletes = Json::array();
  // Errors with the file in front, in place of the rule's own text.
  std::vector<std::string> errors;
};

// Reads `{"objects":[{"kind","name","owner","spec"}],"delete":[...]}` from each
// path; "-" is `input`. Every error of every file is collected. Not thread
// safe.
OperatorChanges ReadOperatorFiles(const std::vector<std::string>& paths,
                                  std::istream& input);

// Errors of `violations` with the file that names the object in front.
std::vector<std::string> WithFiles(const OperatorChanges& changes,
                                   const RuleViolations& violations);

}  // namespace kumquatcart

#endif  // CLI_OPERATOR_FILE_H_
