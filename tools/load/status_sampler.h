// Samples the entry VMs' /status beside the load.
#ifndef LOAD_STATUS_SAMPLER_H_
#define LOAD_STATUS_SAMPLER_H_

#include <atomic>
#include <thread>

#include "base/clock.h"
#include "load/group_usage.h"
#include "load/load_settings.h"

namespace kumquatcart::load {

// Samples on a thread of its own until stopped.
class StatusSampler {
 public:
  // Precondition: both outlive the sampler.
  StatusSampler(const LoadSettings* settings, Clock* clock);
  ~StatusSampler();

  // Idempotent. Not thread safe.
  void Stop();

  // Precondition: stopped.
  const GroupUsage& Usage() const { return this->usage; }

 private:
  void Run();
  void SampleFirstAnswering();

  const LoadSettings* settings;
  Clock* clock;
  GroupUsage usage;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace kumquatcart::load

#endif  // LOAD_STATUS_SAMPLER_H_
