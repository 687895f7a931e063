// The platform's VM list over HTTP.
#ifndef PLATFORM_HTTP_VM_LIST_H_
#define PLATFORM_HTTP_VM_LIST_H_

#include <string>

#include <cpprest/http_client.h>

#include "base/clock.h"
#include "platform/platform_settings.h"
#include "platform/vm_list.h"

namespace kumquatcart {

// Thread safe.
class HttpVmList : public VmList {
 public:
  // Preconditions: `base_url` is a valid URL; `clock` outlives the list.
  HttpVmList(const std::string& base_url,
             const PlatformSettings& settings,
             Clock* clock);

  Result<VmTable> Fetch() override;

 private:
  const Duration timeout;
  Clock* const clock;
  web::http::client::http_client client;
};

}  // namespace kumquatcart

#endif  // PLATFORM_HTTP_VM_LIST_H_
