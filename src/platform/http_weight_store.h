// Status of the platform's weight store over HTTP.
#ifndef PLATFORM_HTTP_WEIGHT_STORE_H_
#define PLATFORM_HTTP_WEIGHT_STORE_H_

#include <string>

#include <cpprest/http_client.h>

#include "base/clock.h"
#include "platform/platform_settings.h"
#include "platform/weight_store.h"

namespace kumquatcart {

// Thread safe.
class HttpWeightStore : public WeightStore {
 public:
  // Preconditions: `base_url` is a valid URL; `clock` outlives the store.
  HttpWeightStore(const std::string& base_url,
                  const PlatformSettings& settings,
                  Clock* clock);

  Result<WeightStoreStatus> FetchStatus() override;

 private:
  const Duration timeout;
  Clock* const clock;
  web::http::client::http_client client;
};

}  // namespace kumquatcart

#endif  // PLATFORM_HTTP_WEIGHT_STORE_H_
