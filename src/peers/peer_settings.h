// Settings of the peer network.
#ifndef PEERS_PEER_SETTINGS_H_
#define PEERS_PEER_SETTINGS_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "base/setting.h"
#include "model/endpoint_parser.h"

namespace kumquatcart {

struct PeerSettings {
  std::string listen = "127.0.0.1:7400";  // Numeric IP address and port.
  std::string key_file;                   // Empty: no peers.
  std::string seeds;                      // Comma-separated endpoints.
  Duration tick_interval = std::chrono::milliseconds(100);
  Duration probe_interval = std::chrono::milliseconds(500);
  // A connection that is silent for this long is closed and reopened.
  Duration silent_after = std::chrono::milliseconds(900);
  // A member that is silent for this long is suspected.
  Duration suspect_after = std::chrono::milliseconds(1200);
  Duration suspicion = std::chrono::milliseconds(600);
  // An unused connection is closed after this time.
  Duration idle_close = std::chrono::seconds(10);
  // Time between digest exchanges with one peer.
  Duration exchange_interval = std::chrono::seconds(1);
  // Time between attempts to reconnect to dead members or seeds.
  Duration rejoin_interval = std::chrono::seconds(2);
  std::int64_t push_fanout = 4;
  std::int64_t repair_bytes_per_second = 256 * 1024;
};

// Precondition: `settings` outlives the returned group.
SettingGroup DescribeSettings(PeerSettings* settings);

// Reads the shared key from a file. Errors: kNotFound, kInvalidArgument when it
// is shorter than kPeerKeyMinBytes.
Result<std::string> ReadPeerKey(const std::string& path);

}  // namespace kumquatcart

#endif  // PEERS_PEER_SETTINGS_H_
