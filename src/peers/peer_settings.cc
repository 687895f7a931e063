#include "peers/peer_settings.h"

#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "peers/peer_constants.h"

namespace kumquatcart {

using std::chrono::milliseconds;

SettingGroup DescribeSettings(PeerSettings* settings) {
  SettingGroup group;
  group.title = "Peers";
  group.settings = {
      TextSetting("peer-listen", "IP address and port on which to accept peers",
                  &settings->listen),
      TextSetting("peer-key-file",
                  "File with the key shared by all entry VMs, at least 32 "
                  "bytes; empty disables peers",
                  &settings->key_file),
      TextSetting("peer-seeds",
                  "Comma-separated IP addresses and ports of entry VMs, in "
                  "addition to those in the VM list",
                  &settings->seeds),
      DurationSetting("probe-interval-ms",
                      "Milliseconds between probes of an observed peer",
                      &settings->probe_interval, milliseconds(50),
                      milliseconds(10000)),
      DurationSetting("silent-after-ms",
                      "Milliseconds of silence after which a peer connection "
                      "is reopened",
                      &settings->silent_after, milliseconds(50),
                      milliseconds(60000)),
      DurationSetting("suspect-after-ms",
                      "Milliseconds of silence after which a peer is suspected",
                      &settings->suspect_after, milliseconds(50),
                      milliseconds(60000)),
      DurationSetting("suspicion-ms",
                      "Milliseconds after which a suspected peer that does not "
                      "respond is declared dead",
                      &settings->suspicion, milliseconds(50),
                      milliseconds(60000)),
      DurationSetting("exchange-interval-ms",
                      "Milliseconds between digest exchanges with a peer",
                      &settings->exchange_interval, milliseconds(50),
                      milliseconds(60000)),
      IntSetting("push-fanout",
                 "Number of peers to which new data is pushed immediately",
                 &settings->push_fanout, 1, 64),
      IntSetting("repair-bytes-per-second",
                 "Maximum rate of repair traffic in bytes per second",
                 &settings->repair_bytes_per_second,
                 static_cast<std::int64_t>(kPeerMaxDeltaBytes), 1 << 30),
  };
  return group;
}

Result<std::string> ReadPeerKey(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(
        ErrorCode::kNotFound,
        fmt::format("setting 'peer-key-file': cannot read '{}'", path));
  }
  std::string key{std::istreambuf_iterator<char>(file), {}};
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  if (key.size() < kPeerKeyMinBytes) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("setting 'peer-key-file': '{}' holds {} bytes, but must "
                    "hold {} at least",
                    path, key.size(), kPeerKeyMinBytes));
  }
  return key;
}

}  // namespace kumquatcart
