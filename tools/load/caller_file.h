// The organisations in whose name requests are sent.
#ifndef LOAD_CALLER_FILE_H_
#define LOAD_CALLER_FILE_H_

#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/outcome.h"

namespace kumquatcart::load {

// One organisation, its token and what it asks for.
struct Caller {
  std::string organisation;
  std::string token;
  std::string model_service;
  std::string plain_service;
  std::string idempotent_path;      // Below /services/{service}/; by GET.
  std::string non_idempotent_path;  // The same, by POST.
  double weight = 1;                // Share of the load.

  auto Tie() const {
    return std::tie(this->organisation, this->token, this->model_service,
                    this->plain_service, this->idempotent_path,
                    this->non_idempotent_path, this->weight);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Caller,
                                                organisation,
                                                token,
                                                model_service,
                                                plain_service,
                                                idempotent_path,
                                                non_idempotent_path,
                                                weight)

// Reads `{"callers": [...]}`. Errors: kNotFound, kInvalidArgument.
Result<std::vector<Caller>> ReadCallers(const std::string& file);

}  // namespace kumquatcart::load

#endif  // LOAD_CALLER_FILE_H_
