#include "gateway/caller_identity.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "gateway/gateway_constants.h"
#include "net/http_field_values.h"

namespace kumquatcart {

namespace {

Error MakeUnknownServiceError(const ServiceName& service) {
  return MakeError(ErrorCode::kNotFound,
                   "unknown service '" + service.value + "'");
}

}  // namespace

CallerDirectory::CallerDirectory(std::shared_ptr<const ConfigView> config)
    : config(std::move(config)) {
  for (const auto& [name, token] : this->config->tokens) {
    const auto found =
        this->config->organisations.find(token.body.organisation);
    if (found == this->config->organisations.end()) {
      continue;
    }
    CallerIdentity identity;
    identity.organisation = found->first;
    identity.partner = found->second.meta.owner;
    this->by_token_digest[token.body.sha256] = std::move(identity);
  }
}

Result<CallerIdentity> CallerDirectory::Identify(
    const std::string& authorization) const {
  if (authorization.empty()) {
    return MakeError(ErrorCode::kPermissionDenied,
                     "header Authorization is missing");
  }
  const std::string token(BearerToken(authorization));
  if (token.empty() || token.size() > kMaxIdentifierBytes) {
    return MakeError(ErrorCode::kPermissionDenied,
                     "header Authorization must be 'Bearer <token>'");
  }
  const auto found = this->by_token_digest.find(Sha256Hex(token));
  if (found == this->by_token_digest.end()) {
    return MakeError(ErrorCode::kPermissionDenied,
                     "header Authorization carries an unknown token");
  }
  return found->second;
}

Result<Configured<ModelService>> CallerDirectory::FindModelService(
    const CallerIdentity& caller,
    const ServiceName& service) const {
  const auto found =
      this->config->model_services.find(ObjectName(service.value));
  if (found == this->config->model_services.end() ||
      !this->MaySee(caller, found->second.meta)) {
    return MakeUnknownServiceError(service);
  }
  return found->second;
}

Result<Configured<PlainService>> CallerDirectory::FindPlainService(
    const CallerIdentity& caller,
    const ServiceName& service) const {
  const auto found =
      this->config->plain_services.find(ObjectName(service.value));
  if (found == this->config->plain_services.end() ||
      !this->MaySee(caller, found->second.meta)) {
    return MakeUnknownServiceError(service);
  }
  return found->second;
}

bool CallerDirectory::MaySee(const CallerIdentity& caller,
                             const ObjectMeta& object) const {
  if (object.owner == caller.partner) {
    return true;
  }
  const auto& grants = this->config->grants;
  return std::any_of(grants.begin(), grants.end(), [&](const auto& entry) {
    const Configured<Grant>& grant = entry.second;
    return grant.meta.owner == object.owner &&
           grant.body.object == object.name && grant.body.to == caller.partner;
  });
}

}  // namespace kumquatcart
