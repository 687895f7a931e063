#include "platform/http_vm_list.h"

#include <utility>
#include <vector>

#include "base/json.h"
#include "platform/http_exchange.h"
#include "platform/platform_constants.h"

namespace kumquatcart {

namespace {

// Answer of GET /vms.
struct VmListAnswer {
  std::vector<Vm> vms;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VmListAnswer, vms)

VmTable ToTable(VmListAnswer answer) {
  VmTable table;
  for (Vm& vm : answer.vms) {
    VmId id = vm.id;
    table.vms.insert_or_assign(std::move(id), std::move(vm));
  }
  return table;
}

}  // namespace

HttpVmList::HttpVmList(const std::string& base_url,
                       const PlatformSettings& settings,
                       Clock* clock)
    : timeout(settings.list_timeout),
      clock(clock),
      client(web::uri(base_url)) {}

Result<VmTable> HttpVmList::Fetch() {
  const internal::HttpCall call{web::http::methods::GET, kVmsPath, "",
                                this->timeout};
  const Result<internal::HttpAnswer> answer =
      internal::Exchange(this->client, this->clock, call);
  if (!answer.has_value()) {
    return internal::WithoutEffect(answer.error());
  }
  if (answer.value().status != kHttpOk) {
    return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer.value());
  }
  Result<VmListAnswer> list = DecodeJson<VmListAnswer>(answer.value().body);
  if (!list.has_value()) {
    return MakeError(ErrorCode::kUnavailable, list.error().message);
  }
  return ToTable(std::move(list).value());
}

}  // namespace kumquatcart
