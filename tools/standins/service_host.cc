#include "standins/service_host.h"

#include <utility>

#include "base/ids.h"
#include "base/json.h"
#include "model/request.h"
#include "net/http_status.h"
#include "platform/platform_constants.h"

namespace kumquatcart::standins {

namespace {

std::string HeaderOf(const HttpRequest& request, const char* name) {
  return std::string(request[name]);
}

}  // namespace

ServiceHost::ServiceHost(boost::asio::io_context* context,
                         Scheduler* scheduler,
                         TopologyVm topology,
                         Duration delay,
                         ExecutionCounts* counts)
    : VmHost(context, scheduler, std::move(topology)),
      delay(delay),
      counts(counts) {}

void ServiceHost::Reset() {
  ++this->life;
}

void ServiceHost::Handle(const HttpRequest& request,
                         ConnectionPtr connection,
                         Duration) {
  const std::string path = PathOf(request);
  if (path == kServiceProbePath) {
    connection->Reply(kHttpOk, "{}");
    return;
  }
  const std::string prefix = "/services/" + this->Row().service.value + "/";
  if (path.rfind(prefix, 0) != 0) {
    connection->Reply(kHttpNotFound, ErrorBody("no such path"));
    return;
  }
  this->scheduler->After(this->delay,
                         [this, request, connection, began = this->life] {
                           // A call of a VM that died in the meantime goes no
                           // further.
                           if (began == this->life && this->IsAlive()) {
                             this->Execute(request, connection);
                           }
                         });
}

void ServiceHost::Execute(const HttpRequest& request,
                          const ConnectionPtr& connection) {
  const std::string request_id = HeaderOf(request, kRequestIdHeader);
  const std::string attempt = HeaderOf(request, kAttemptIdHeader);
  const std::string key = HeaderOf(request, kIdempotencyKeyHeader);
  const int count = ++this->counts->by_request[request_id];
  if (!key.empty()) {
    ++this->counts->by_key[key];
  }
  if (this->faults.silent_before_first_byte > 0) {
    --this->faults.silent_before_first_byte;
    return;
  }
  const Json body = {{"executed", true},
                     {"request_id", request_id},
                     {"attempt", attempt},
                     {"count", count},
                     {"vm", this->Row().id},
                     {"method", std::string(request.method_string())},
                     {"path", PathOf(request)},
                     {"body_sha256", Sha256Hex(request.body())}};
  connection->Reply(
      kHttpOk, body.dump(-1, ' ', false, Json::error_handler_t::replace),
      {{kRequestIdHeader, request_id}, {kAttemptIdHeader, attempt}});
}

}  // namespace kumquatcart::standins
