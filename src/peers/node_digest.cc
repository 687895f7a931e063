#include "peers/node_digest.h"

#include "base/json.h"
#include "peers/server_limit_codec.h"

namespace kumquatcart {

namespace {

// Version of the layout; digests of another version are rejected.
constexpr int kDigestFormat = 3;

Json EncodeGroupStates(const std::vector<GroupAvailability>& groups) {
  Json json = Json::array();
  for (const GroupAvailability& state : groups) {
    json.push_back(Json::array({state.group, state.epoch, state.open}));
  }
  return json;
}

std::vector<GroupAvailability> DecodeGroupStates(const Json& json) {
  std::vector<GroupAvailability> groups;
  for (const Json& row : json) {
    groups.push_back({row.at(0).get<std::string>(),
                      row.at(1).get<std::int64_t>(), row.at(2).get<bool>()});
  }
  return groups;
}

// Position of the limits, which nodes of earlier versions do not send.
constexpr std::size_t kLimitsIndex = 14;

// Positions of the loads of others, which only collectors send.
constexpr std::size_t kDomainLoadsIndex = 15;
constexpr std::size_t kClusterLoadIndex = 16;

constexpr std::size_t kTopics = kStoreTopicCount;

// The ends of the topics; behind them, of a store that states its era, the era
// and the numbers of retained records. Nodes of earlier versions read the ends
// only.
Json EncodeTopics(const NodeDigest& digest) {
  Json json = digest.topic_ends;
  if (digest.store_era > 0 && digest.topic_ends.size() == kTopics) {
    json.push_back(digest.store_era);
    for (const int count : digest.retained_records) {
      json.push_back(count);
    }
  }
  return json;
}

// Throws Json::exception.
void DecodeTopics(const Json& json, NodeDigest* digest) {
  for (std::size_t i = 0; i < json.size(); ++i) {
    const Json& number = json.at(i);
    if (i < kTopics) {
      digest->topic_ends.push_back(number.get<std::int64_t>());
    } else if (i == kTopics) {
      digest->store_era = number.get<StoreEra>();
    } else {
      digest->retained_records.push_back(number.get<int>());
    }
  }
}

std::vector<ServerLimit> DecodeLimits(const Json& json) {
  std::vector<ServerLimit> limits;
  for (const Json& row : json) {
    limits.push_back(DecodeServerLimit(row));
  }
  return limits;
}

std::vector<DomainLoad> DecodeDomainLoads(const Json& json) {
  std::vector<DomainLoad> loads;
  for (const Json& row : json) {
    loads.push_back({row.at(0).get<std::string>(), row.at(1).get<int>(),
                     row.at(2).get<std::map<std::string, int>>(),
                     row.at(3).get<std::map<std::string, int>>()});
  }
  return loads;
}

}  // namespace

std::string EncodeDigest(const NodeDigest& digest) {
  Json json = Json::array(
      {kDigestFormat, digest.node, digest.failure_domain, digest.interval_ms,
       digest.is_stopping, digest.reaches_store, digest.has_traffic,
       digest.config_version, EncodeTopics(digest), digest.in_flight,
       digest.unread, digest.unreachable, digest.suspected_servers,
       EncodeGroupStates(digest.groups)});
  const bool has_loads =
      !digest.domain_loads.empty() || digest.cluster_load.has_value();
  if (digest.limits) {
    Json limits = Json::array();
    for (const ServerLimit& limit : *digest.limits) {
      limits.push_back(EncodeServerLimit(limit));
    }
    json.push_back(std::move(limits));
  } else if (has_loads) {
    json.push_back(nullptr);
  }
  if (has_loads) {
    Json loads = Json::array();
    for (const DomainLoad& load : digest.domain_loads) {
      loads.push_back(Json::array(
          {load.failure_domain, load.age_ms, load.in_flight, load.unread}));
    }
    json.push_back(std::move(loads));
  }
  if (digest.cluster_load) {
    json.push_back(Json::array(
        {digest.cluster_load->in_flight, digest.cluster_load->unread}));
  }
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return std::string(bytes.begin(), bytes.end());
}

Result<NodeDigest> DecodeDigest(const std::string& bytes) {
  BOOST_OUTCOME_TRY(json, ParseCbor(bytes));
  try {
    if (json.at(0).get<int>() != kDigestFormat) {
      return MakeError(ErrorCode::kInvalidArgument, "unknown digest format");
    }
    NodeDigest digest;
    digest.node = json.at(1).get<std::string>();
    digest.failure_domain = json.at(2).get<std::string>();
    digest.interval_ms = json.at(3).get<int>();
    digest.is_stopping = json.at(4).get<bool>();
    digest.reaches_store = json.at(5).get<bool>();
    digest.has_traffic = json.at(6).get<bool>();
    digest.config_version = json.at(7).get<std::int64_t>();
    DecodeTopics(json.at(8), &digest);
    digest.in_flight = json.at(9).get<std::map<std::string, int>>();
    digest.unread = json.at(10).get<std::map<std::string, int>>();
    digest.unreachable = json.at(11).get<std::vector<std::string>>();
    digest.suspected_servers = json.at(12).get<std::vector<std::string>>();
    digest.groups = DecodeGroupStates(json.at(13));
    if (json.size() > kLimitsIndex && !json.at(kLimitsIndex).is_null()) {
      digest.limits = DecodeLimits(json.at(kLimitsIndex));
    }
    if (json.size() > kDomainLoadsIndex) {
      digest.domain_loads = DecodeDomainLoads(json.at(kDomainLoadsIndex));
    }
    if (json.size() > kClusterLoadIndex) {
      const Json& load = json.at(kClusterLoadIndex);
      digest.cluster_load =
          ClusterLoadReport{load.at(0).get<std::map<std::string, int>>(),
                            load.at(1).get<std::map<std::string, int>>()};
    }
    if (digest.store_era < 0) {
      return MakeError(ErrorCode::kInvalidArgument, "digest: negative era");
    }
    return digest;
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("digest: ") + error.what());
  }
}

}  // namespace kumquatcart
