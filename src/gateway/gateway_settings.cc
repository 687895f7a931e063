#include "gateway/gateway_settings.h"

namespace kumquatcart {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

std::vector<Setting> DescribeSizes(GatewaySettings* settings) {
  return {
      IntSetting("max-body-bytes", "Largest request body, in bytes.",
                 &settings->max_body_bytes, 1024, 64 << 20),
      IntSetting("max-header-bytes",
                 "Largest sum of a request's header names and values, in "
                 "bytes.",
                 &settings->max_header_bytes, 1024, 1 << 20),
      IntSetting("max-answer-bytes",
                 "Largest answer of a plain service, in bytes.",
                 &settings->max_answer_bytes, 1024, 256 << 20),
      IntSetting("max-buffered-bytes",
                 "Bytes of one stream that wait for a slow caller before its "
                 "backend server is slowed.",
                 &settings->max_buffered_bytes, 1024, 16 << 20),
  };
}

std::vector<Setting> DescribeTimes(GatewaySettings* settings) {
  return {
      DurationSetting("connect-timeout-ms",
                      "Longest wait for a connection to a backend server.",
                      &settings->connect_timeout, milliseconds(10), hours(1)),
      DurationSetting("first-byte-timeout-ms",
                      "Longest wait for the first byte of an answer.",
                      &settings->first_byte_timeout, milliseconds(10),
                      hours(1)),
      DurationSetting("idle-timeout-ms",
                      "Longest silence between two parts of an answer.",
                      &settings->idle_timeout, milliseconds(10), hours(1)),
      DurationSetting("caller-stall-timeout-ms",
                      "Longest time that a caller may leave its stream unread.",
                      &settings->caller_stall_timeout, milliseconds(10),
                      hours(1)),
      DurationSetting("request-timeout-ms",
                      "Deadline of a request that names none.",
                      &settings->request_timeout, milliseconds(10), hours(1)),
      DurationSetting("drain-settle-ms",
                      "Time for the balancer to notice a drain before it may "
                      "end.",
                      &settings->drain_settle, milliseconds(0), hours(1)),
  };
}

}  // namespace

SettingGroup DescribeSettings(GatewaySettings* settings) {
  SettingGroup group;
  group.title = "Request path";
  for (Setting& setting : DescribeSizes(settings)) {
    group.settings.push_back(std::move(setting));
  }
  for (Setting& setting : DescribeTimes(settings)) {
    group.settings.push_back(std::move(setting));
  }
  return group;
}

}  // namespace kumquatcart
