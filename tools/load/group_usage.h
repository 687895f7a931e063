// Group downtime and stranded accelerators, integrated over status samples.
#ifndef LOAD_GROUP_USAGE_H_
#define LOAD_GROUP_USAGE_H_

#include <map>
#include <tuple>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "base/json.h"
#include "base/outcome.h"
#include "model/replica_group.h"

namespace kumquatcart::load {

// One look at an entry VM's /status.
struct StatusSample {
  GroupTable groups;
  std::map<VmId, int> live_accelerators;

  auto Tie() const { return std::tie(this->groups, this->live_accelerators); }
};

// Errors: kInvalidArgument.
Result<StatusSample> DecodeStatusSample(const std::string& body);

// Not thread safe.
class GroupUsage {
 public:
  // Counts the time since the sample before at what that one showed. Times do
  // not go back.
  void Add(const StatusSample& sample, MonotonicTime at);

  // Groups missing against the most that were whole before, a service and
  // failure domain, times seconds.
  double DowntimeGroupSeconds() const { return this->downtime; }
  // Accelerators of live VMs whose group cannot serve, times seconds.
  double StrandedAcceleratorSeconds() const { return this->stranded; }
  int WholeGroups() const { return this->whole_now; }
  int FewestWholeGroups() const { return this->fewest_whole; }
  int MostWholeGroups() const { return this->most_whole; }
  int Samples() const { return this->samples; }

 private:
  using Place = std::pair<ServiceName, FailureDomainId>;

  void Measure(const StatusSample& sample);

  std::map<Place, int> most_at;
  MonotonicTime last_at;
  int missing_now = 0;
  int stranded_now = 0;
  int whole_now = 0;
  int fewest_whole = 0;
  int most_whole = 0;
  int samples = 0;
  double downtime = 0;
  double stranded = 0;
};

}  // namespace kumquatcart::load

#endif  // LOAD_GROUP_USAGE_H_
