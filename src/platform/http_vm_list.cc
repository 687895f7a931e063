#include "platform/http_vm_list.h"

#include <utility>
#include <vector>

#include "base/json.h"
#include "platform/http_exchange.h"
#include "platform/platform_constants.h"

namespace kumquatcart {

namespace {

// Decodes the answer of GET /vms.
Result<VmTable> DecodeTable(const std::string& body) {
  BOOST_OUTCOME_TRY(json, ParseJson(body));
  if (!json.is_object() || !json.contains("vms")) {
    return MakeError(ErrorCode::kInvalidArgument, "answer lacks vms");
  }
  BOOST_OUTCOME_TRY(vms, FromJson<std::vector<Vm>>(json["vms"]));
  VmTable table;
  for (Vm& vm : vms) {
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
  BOOST_OUTCOME_TRY(body, internal::BodyOfRead(answer));
  Result<VmTable> table = DecodeTable(body);
  if (!table.has_value()) {
    return MakeError(ErrorCode::kUnavailable, table.error().message);
  }
  return table;
}

}  // namespace kumquatcart
