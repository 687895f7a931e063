// Who a caller is and which services it may see.
#ifndef GATEWAY_CALLER_IDENTITY_H_
#define GATEWAY_CALLER_IDENTITY_H_

#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <unordered_map>

#include "base/comparable.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "model/config_view.h"

namespace kumquatcart {

// The organisation behind a bearer token and the partner that owns it.
struct CallerIdentity {
  ObjectName organisation;
  PartnerId partner;

  auto Tie() const { return std::tie(this->organisation, this->partner); }
};

// Finds callers by token in one configuration. Immutable; thread safe.
class CallerDirectory {
 public:
  explicit CallerDirectory(std::shared_ptr<const ConfigView> config);

  // Identifies the value of an Authorization header. Errors:
  // kPermissionDenied when the header is missing, malformed or names no known
  // token.
  Result<CallerIdentity> Identify(const std::string& authorization) const;

  // The services that `caller` may use: its partner's own and granted ones.
  // Errors: kNotFound, the same for a service that does not exist and for one
  // that the caller may not see.
  Result<Configured<ModelService>> FindModelService(
      const CallerIdentity& caller,
      const ServiceName& service) const;
  Result<Configured<PlainService>> FindPlainService(
      const CallerIdentity& caller,
      const ServiceName& service) const;

  const std::shared_ptr<const ConfigView>& Config() const {
    return this->config;
  }

 private:
  bool MaySee(const CallerIdentity& caller, const ObjectMeta& object) const;

  std::shared_ptr<const ConfigView> config;
  std::unordered_map<std::string, CallerIdentity> by_token_digest;
};

}  // namespace kumquatcart

#endif  // GATEWAY_CALLER_IDENTITY_H_
