#include "control/node_record_codec.h"

#include "base/json.h"
#include "model/endpoint_parser.h"

namespace kumquatcart {

namespace {

Error Malformed(const std::string& what) {
  return MakeError(ErrorCode::kInvalidArgument, "node record: " + what);
}

Result<Endpoint> DecodePeerEndpoint(const Json& json) {
  const Json& port = json.at("port");
  if (!port.is_number_unsigned()) {
    return Malformed("no port");
  }
  return ParseEndpoint(json.at("host").get<std::string>() + ":" +
                       std::to_string(port.get<std::uint64_t>()));
}

}  // namespace

std::string EncodeNodeRecord(const NodeRecord& record) {
  return Json{{"endpoint", record.endpoint},
              {"failure_domain", record.failure_domain},
              {"cores", record.cores}}
      .dump();
}

Result<NodeRecord> DecodeNodeRecord(const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  try {
    NodeRecord record;
    BOOST_OUTCOME_TRY(endpoint, DecodePeerEndpoint(json.at("endpoint")));
    record.endpoint = endpoint;
    record.failure_domain = json.value("failure_domain", std::string());
    record.cores = json.value("cores", 0.0);
    return record;
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

}  // namespace kumquatcart
