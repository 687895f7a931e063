// Fuzz target of everything that the entry VM process decodes: the platform's
// settings, configuration, server entries, reports and records, callers' header
// fields, and what entry VMs tell one another.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "base/logging.h"
#include "control/group_record_codec.h"
#include "control/node_record_codec.h"
#include "model/socket_address.h"
#include "peers/node_digest.h"
#include "peers/permit_message.h"
#include "peers/record_exchange.h"
#include "platform/caller_codec.h"
#include "platform/config_decoder.h"
#include "platform/process_settings.h"
#include "platform/server_decoder.h"
#include "platform/store_client.h"
#include "routing/route_table.h"

namespace kumquatcart {
namespace {

// Ends the process when `holds` is false, which the fuzzer reports.
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void CheckConfig(const std::string& text) {
  const Result<RoutingConfig> config = DecodeRoutingConfig(text);
  if (config.has_error()) {
    return;
  }
  const RouteTable table(std::make_shared<const RoutingConfig>(config.value()));
  for (const RouteRule& route : config.value().routes) {
    // Another route may have the same prefix, but some route takes the path.
    Require(table.Match(route.host, route.path_prefix) != nullptr ||
            route.host.empty() || route.path_prefix.empty());
  }
}

void CheckServers(const std::string& text) {
  const Result<BackendServer> server = DecodeServerEntry("id", text);
  if (server.has_value()) {
    Require(server.value().slots >= 1);
    Require(server.value().endpoint.port > 0);
    Require(server.value().started_ms >= 0);
    Require(!server.value().service.empty());
  }
  static_cast<void>(DecodeEngineReport(text).has_value());
  static_cast<void>(DecodeGroupRecord("group", 1, text).has_value());
  const Result<NodeRecord> node = DecodeNodeRecord(text);
  if (node.has_value()) {
    static_cast<void>(ToTcpEndpoint(node.value().endpoint));  // May not throw.
  }
  static_cast<void>(DecodeProcessSettings(text).has_value());
}

void CheckRecords(const std::string& bytes) {
  const Result<TopicBatch> records = DecodeRecords(bytes, 5);
  if (records.has_value()) {
    for (const TopicRecord& record : records.value().records) {
      Require(record.offset >= 5);
    }
  }
  const Result<TopicBatch> batch = DecodeTopicBatch(bytes);
  if (batch.has_value()) {
    Require(DecodeTopicBatch(EncodeTopicBatch(batch.value())).value() ==
            batch.value());
  }
  const Result<NodeDigest> digest = DecodeDigest(bytes);
  if (digest.has_value()) {
    Require(DecodeDigest(EncodeDigest(digest.value())).value() ==
            digest.value());
  }
  const auto message = DecodePermitMessage(bytes);
  if (message && message->has_value()) {
    Require(
        DecodePermitMessage(EncodePermitMessage(message->value()))->value() ==
        message->value());
  }
  static_cast<void>(DecodeRecordQuery(bytes).has_value());
}

// Lines of `text` up to the first empty one are header fields.
HeaderList FieldsOf(const std::string& text) {
  HeaderList fields;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find('\n', at), text.size());
    const std::string line = text.substr(at, end - at);
    if (line.empty()) {
      break;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    fields.push_back({line.substr(0, colon),
                      colon < line.size() ? line.substr(colon + 1) : ""});
    at = end + 1;
  }
  return fields;
}

void CheckCaller(const std::string& text) {
  const Result<CallerRequest> request =
      DecodeCallerRequest("POST", "/" + text.substr(0, 8), FieldsOf(text), "");
  if (request.has_error()) {
    return;
  }
  Require(!request.value().id.empty());
  SendFacts facts;
  facts.server_id = "server";
  facts.organisation = "org";
  int expected = 0;
  int organisations = 0;
  for (const HeaderField& field :
       EncodeForServer(request.value(), facts).headers) {
    expected += EqualsIgnoringCase(field.name, "X-Expect-Instance") ? 1 : 0;
    organisations += EqualsIgnoringCase(field.name, "X-Tenant") ? 1 : 0;
    Require(!EqualsIgnoringCase(field.name, "Authorization"));
  }
  Require(expected == 1);
  Require(organisations == 1);
}

}  // namespace
}  // namespace kumquatcart

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  // Ignored records are logged; at this rate that would be all that is done.
  kumquatcart::ConfigureLogging(kumquatcart::LogLevel::kError,
                                kumquatcart::LogFormat::kKeyValue);
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  kumquatcart::CheckConfig(bytes);
  kumquatcart::CheckServers(bytes);
  kumquatcart::CheckRecords(bytes);
  kumquatcart::CheckCaller(bytes);
  return 0;
}
