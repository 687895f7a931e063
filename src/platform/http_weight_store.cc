#include "platform/http_weight_store.h"

#include "base/json.h"
#include "platform/http_exchange.h"
#include "platform/platform_constants.h"

namespace kumquatcart {

HttpWeightStore::HttpWeightStore(const std::string& base_url,
                                 const PlatformSettings& settings,
                                 Clock* clock)
    : timeout(settings.list_timeout),
      clock(clock),
      client(web::uri(base_url)) {}

Result<WeightStoreStatus> HttpWeightStore::FetchStatus() {
  const internal::HttpCall call{web::http::methods::GET, kWeightsPath, "",
                                this->timeout};
  const Result<internal::HttpAnswer> answer =
      internal::Exchange(this->client, this->clock, call);
  BOOST_OUTCOME_TRY(body, internal::BodyOfRead(answer));
  Result<WeightStoreStatus> status = DecodeJson<WeightStoreStatus>(body);
  if (!status.has_value()) {
    return MakeError(ErrorCode::kUnavailable, status.error().message);
  }
  return status;
}

}  // namespace kumquatcart
