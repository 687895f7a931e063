// Every setting of an entry VM.
#ifndef CLI_SERVE_SETTINGS_H_
#define CLI_SERVE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "base/setting.h"
#include "control/config_settings.h"
#include "control/group_controller.h"
#include "control/lease_manager.h"
#include "control/watch_settings.h"
#include "gateway/claim_log.h"
#include "gateway/gateway_settings.h"
#include "model/member.h"
#include "peers/peer_settings.h"
#include "platform/platform_settings.h"
#include "routing/admission_controller.h"
#include "routing/router.h"

namespace kumquatcart {

// Who and where this entry VM is, and how much of it to use.
struct NodeSettings {
  std::string vm_id = "entry-1";
  std::string partner = "partner";
  std::string region = "region";
  std::string failure_domain = "failure-domain";
  std::string http_listen = "127.0.0.1:8080";
  std::string operator_listen;  // Empty: the same as `http_listen`.
  std::string platform_url = "http://127.0.0.1:18000";
  std::string log_format = "text";
  std::string log_level = "info";
  std::int64_t http_threads = 8;
  std::int64_t worker_threads = 8;
  std::int64_t random_seed = 0;
  double retry_ratio = 0.2;
  double retry_burst = 20;
};

// The settings of all features of an entry VM.
struct ServeSettings {
  NodeSettings node;
  GatewaySettings gateway;
  ClaimSettings claims;
  ConfigSettings config;
  RouterSettings router;
  AdmissionSettings admission;
  PeerSettings peers;
  PlatformSettings platform;
  WatchSettings watch;
  LeaseSettings lease;
  GroupSettings groups;
};

// The settings in groups, in the order of the help. Precondition: `settings`
// outlives the result.
std::vector<SettingGroup> DescribeSettings(ServeSettings* settings);

// Checks the settings against one another and makes this process's identity
// from them. Errors: kInvalidArgument naming the setting.
Result<NodeIdentity> MakeIdentity(const ServeSettings& settings);

}  // namespace kumquatcart

#endif  // CLI_SERVE_SETTINGS_H_
