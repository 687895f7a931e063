// A plain service on its own port.
#ifndef STANDINS_SERVICE_HOST_H_
#define STANDINS_SERVICE_HOST_H_

#include <memory>
#include <string>

#include "standins/execution_counts.h"
#include "standins/vm_host.h"

namespace kumquatcart::standins {

// Executes every call under /services/{service}/ and counts it. Everything runs
// on the io_context's thread.
class ServiceHost : public VmHost {
 public:
  // Precondition: everything pointed to outlives the host.
  ServiceHost(boost::asio::io_context* context,
              Scheduler* scheduler,
              TopologyVm topology,
              Duration delay,
              ExecutionCounts* counts);

 protected:
  void Handle(const HttpRequest& request,
              ConnectionPtr connection,
              Duration waited) override;
  void Reset() override;

 private:
  void Execute(const HttpRequest& request, const ConnectionPtr& connection);

  const Duration delay;
  ExecutionCounts* counts;
  int life = 0;  // Tells calls that began before the VM died.
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_SERVICE_HOST_H_
