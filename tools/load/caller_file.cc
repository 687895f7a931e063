#include "load/caller_file.h"

#include <fstream>
#include <iterator>

#include "base/json.h"

namespace kumquatcart::load {

Result<std::vector<Caller>> ReadCallers(const std::string& file) {
  std::ifstream input(file);
  if (!input) {
    return MakeError(ErrorCode::kNotFound, "cannot read " + file);
  }
  const std::string text{std::istreambuf_iterator<char>(input),
                         std::istreambuf_iterator<char>()};
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  if (!json.is_object() || !json.contains("callers")) {
    return MakeError(ErrorCode::kInvalidArgument, "no list named callers");
  }
  BOOST_OUTCOME_TRY(callers, FromJson<std::vector<Caller>>(json["callers"]));
  if (callers.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "the list is empty");
  }
  return callers;
}

}  // namespace kumquatcart::load
