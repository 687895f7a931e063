// The platform's log over HTTP.
#ifndef PLATFORM_HTTP_LOG_SERVICE_H_
#define PLATFORM_HTTP_LOG_SERVICE_H_

#include <string>

#include <cpprest/http_client.h>

#include "base/clock.h"
#include "platform/log_service.h"
#include "platform/platform_settings.h"

namespace kumquatcart {

// Thread safe. Appends use a connection of their own each, since the library
// repeats a request on its own when a reused connection closes.
class HttpLogService : public LogService {
 public:
  // `base_url` is the platform's, such as "http://127.0.0.1:18000".
  // Preconditions: it is a valid URL; `clock` outlives the service.
  HttpLogService(const std::string& base_url,
                 const PlatformSettings& settings,
                 Clock* clock);

  Result<Offset> Append(const StreamName& stream,
                        const AppendId& append_id,
                        const std::string& payload) override;
  Result<LogBatch> Read(const StreamName& stream,
                        Offset from,
                        std::size_t max_records,
                        Duration wait) override;

 private:
  const std::string base_url;
  const PlatformSettings settings;
  Clock* const clock;
  web::http::client::http_client client;
};

}  // namespace kumquatcart

#endif  // PLATFORM_HTTP_LOG_SERVICE_H_
