// The settings file that the platform writes for each process.
#ifndef PLATFORM_PROCESS_SETTINGS_H_
#define PLATFORM_PROCESS_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart {

inline constexpr std::uint32_t kDefaultDescriptors = 1024;
// Memory of the smallest VMs in use.
inline constexpr std::uint64_t kDefaultMemoryMb = 160;
inline constexpr std::uint64_t kBytesPerMegabyte = 1024 * 1024;

// What an entry VM process learns from its VM.
struct ProcessSettings {
  std::string node_name;
  std::string failure_domain;
  std::vector<std::string> failure_domains;    // All of the deployment, sorted.
  std::map<std::string, std::string> regions;  // By failure domain.
  Endpoint callers;                            // Where callers connect.
  Endpoint readiness;  // Where the platform asks for readiness.
  Endpoint peers;      // Free port for the system's own messages.
  Endpoint metrics;    // Free port for metrics.
  Endpoint store;
  std::uint64_t call_bytes = 0;  // Largest body of an append.
  Duration drain_bound{0};       // A leaving server gets no request after this.
  // A confirmed configuration is in force everywhere after this.
  Duration propagation_bound{0};
  Duration stop_grace{0};  // From the stop signal to the kill.
  Duration stall_time{0};  // A group that lost a member stands this long.
  double retry_ratio = 0;  // Retries allowed for each request, system-wide.
  double retry_base = 0;   // Retries allowed beside those, in one window.
  Duration retry_window{0};
  // A cold server may get, in any second, the rate that its service states
  // times this, and this many requests more, from all VMs together.
  double cold_factor = 1;
  double cold_extra = 0;
  // Largest number of open descriptors, those for files included.
  std::uint32_t descriptors = kDefaultDescriptors;
  std::uint64_t memory_bytes = kDefaultMemoryMb * kBytesPerMegabyte;
  double cores = 0;  // Processor time per second of this VM.
  double link_bytes_per_second = 0;

  auto Tie() const {
    return std::tie(
        this->node_name, this->failure_domain, this->failure_domains,
        this->regions, this->callers, this->readiness, this->peers,
        this->metrics, this->store, this->call_bytes, this->drain_bound,
        this->propagation_bound, this->stop_grace, this->stall_time,
        this->retry_ratio, this->retry_base, this->retry_window,
        this->cold_factor, this->cold_extra, this->descriptors,
        this->memory_bytes, this->cores, this->link_bytes_per_second);
  }
};

// Decodes the text of a settings file. Errors: kInvalidArgument naming the
// field. Thread safe.
Result<ProcessSettings> DecodeProcessSettings(const std::string& text);

// Reads and decodes the file at `path`. Errors: kNotFound, kInvalidArgument.
// Thread safe.
Result<ProcessSettings> ReadProcessSettings(const std::string& path);

}  // namespace kumquatcart

#endif  // PLATFORM_PROCESS_SETTINGS_H_
