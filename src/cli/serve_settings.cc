#include "cli/serve_settings.h"

#include <utility>

namespace kumquatcart {

namespace {

SettingGroup DescribeNode(NodeSettings* node) {
  return {
      "Node",
      {TextSetting("vm-id", "Id of this VM in the platform's VM list.",
                   &node->vm_id),
       TextSetting("partner", "Partner whose VM this is.", &node->partner),
       TextSetting("region", "Region of this VM.", &node->region),
       TextSetting("failure-domain", "Failure domain of this VM.",
                   &node->failure_domain),
       TextSetting("http-listen", "IP address and port for callers.",
                   &node->http_listen),
       TextSetting("operator-listen",
                   "IP address and port of the operators' pages (/status, "
                   "/metrics, /ops), which callers must not reach; empty "
                   "serves them at http-listen.",
                   &node->operator_listen),
       TextSetting("platform-url", "Base URL of the platform's services.",
                   &node->platform_url),
       IntSetting("http-threads", "Threads that serve HTTP.",
                  &node->http_threads, 2, 256),
       IntSetting("worker-threads", "Threads of the worker pool.",
                  &node->worker_threads, 2, 256),
       IntSetting("random-seed", "Seed of random choices; 0 takes a fresh one.",
                  &node->random_seed, 0, 1000000000),
       NumberSetting("retry-ratio", "Retries allowed for each first attempt.",
                     &node->retry_ratio, 0, 1),
       NumberSetting("retry-burst", "Retries that may be saved up.",
                     &node->retry_burst, 0, 1000)}};
}

SettingGroup DescribeLogging(NodeSettings* node) {
  return {
      "Logging",
      {ChoiceSetting("log-format", "Format of log lines.", &node->log_format,
                     {"text", "json"}),
       ChoiceSetting("log-level", "Lowest level that is written.",
                     &node->log_level, {"debug", "info", "warning", "error"})}};
}

// Parses the endpoint in the setting `key`.
Result<Endpoint> ParseSetting(const char* key, const std::string& text) {
  Result<Endpoint> endpoint = ParseEndpoint(text);
  if (endpoint.has_error()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("setting '") + key + "' is '" + text +
                         "': " + endpoint.error().message);
  }
  return endpoint;
}

}  // namespace

std::vector<SettingGroup> DescribeSettings(ServeSettings* settings) {
  return {DescribeNode(&settings->node),
          DescribeLogging(&settings->node),
          DescribeSettings(&settings->gateway),
          DescribeSettings(&settings->claims),
          DescribeSettings(&settings->router),
          DescribeSettings(&settings->admission),
          DescribeSettings(&settings->config),
          DescribeSettings(&settings->peers),
          DescribeSettings(&settings->platform),
          DescribeSettings(&settings->watch),
          DescribeSettings(&settings->lease),
          DescribeSettings(&settings->groups)};
}

Result<NodeIdentity> MakeIdentity(const ServeSettings& settings) {
  BOOST_OUTCOME_TRY(http,
                    ParseSetting("http-listen", settings.node.http_listen));
  BOOST_OUTCOME_TRY(peer, ParseSetting("peer-listen", settings.peers.listen));
  Endpoint operators = http;
  if (!settings.node.operator_listen.empty()) {
    BOOST_OUTCOME_TRY(
        own, ParseSetting("operator-listen", settings.node.operator_listen));
    operators = own;
  }
  NodeIdentity identity;
  identity.id = MakeId<NodeId>();
  identity.vm = VmId(settings.node.vm_id);
  identity.partner = PartnerId(settings.node.partner);
  identity.region = RegionId(settings.node.region);
  identity.failure_domain = FailureDomainId(settings.node.failure_domain);
  identity.http_endpoint = operators;
  identity.peer_endpoint = peer;
  return identity;
}

}  // namespace kumquatcart
