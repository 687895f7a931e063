// Settings of the gateway.
#ifndef GATEWAY_GATEWAY_SETTINGS_H_
#define GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/setting.h"

namespace kumquatcart {

// Bounds on time and memory of the request path. Plain value.
struct GatewaySettings {
  std::string http_host = "127.0.0.1";
  std::int64_t http_port = 8080;
  // Where operators' pages are served; port 0 serves them beside the callers'.
  std::string operator_host = "127.0.0.1";
  std::int64_t operator_port = 0;
  std::int64_t max_body_bytes = 1 << 20;
  std::int64_t max_header_bytes = 16 * 1024;
  std::int64_t max_answer_bytes = 8 << 20;
  std::int64_t max_buffered_bytes = 64 * 1024;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration first_byte_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(5);
  Duration caller_stall_timeout = std::chrono::seconds(60);
  Duration request_timeout = std::chrono::seconds(120);
  Duration drain_settle = std::chrono::seconds(2);
};

// Lists the settings bound to `settings`. Precondition: `settings` outlives the
// group.
SettingGroup DescribeSettings(GatewaySettings* settings);

}  // namespace kumquatcart

#endif  // GATEWAY_GATEWAY_SETTINGS_H_
