#include "platform/config_decoder.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace kumquatcart {

namespace {

constexpr char kStreamingKind[] = "streaming";
constexpr char kIdempotentKind[] = "idempotent";

Duration Millis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

Duration Millis(const Json& json, const char* name, double fallback) {
  return Millis(json.value(name, fallback));
}

// A number from 0 to a million; 0 where there is none.
double PositiveAt(const Json& json, const char* name) {
  constexpr double kMax = 1e6;
  const auto found = json.find(name);
  return found != json.end() && found->is_number()
             ? std::clamp(found->get<double>(), 0.0, kMax)
             : 0;
}

Duration Seconds(const Json& json, const char* name) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(json.value(name, 0.0)));
}

// The table or list in `name`, empty where there is none. A copy would recurse
// at each level.
const Json& FieldAt(const Json& json, const char* name) {
  static const Json empty;
  const auto found = json.find(name);
  return found == json.end() ? empty : *found;
}

Repeatability DecodeRepeatability(const Json& json) {
  const auto kind = json.at("kind").get<std::string>();
  if (kind == kIdempotentKind) {
    return Repeatability::kIdempotent;
  }
  return kind == kStreamingKind && json.value("resumable", false)
             ? Repeatability::kResumable
             : Repeatability::kAtMostOnce;
}

std::vector<std::string> DecodeRegions(const Json& json) {
  std::vector<std::string> regions;
  for (const Json& region : FieldAt(json, "allowed_regions")) {
    regions.push_back(region.get<std::string>());
  }
  return regions;
}

RouteRule DecodeRoute(const Json& json) {
  RouteRule route;
  route.name = json.value("name", std::string());
  route.regions = DecodeRegions(json);
  route.host = json.at("host").get<std::string>();
  route.path_prefix = json.at("path_prefix").get<std::string>();
  route.repeatability = DecodeRepeatability(json);
  route.streaming = json.at("kind").get<std::string>() == kStreamingKind;
  route.is_public = json.value("public", false);
  route.timeout = Millis(json, "timeout_ms", 0);
  route.target_latency = Millis(json, "target_latency_ms", 0);
  route.gap_target = Millis(json, "gap_aim_ms", 0);
  route.priority = json.value("priority", 0);
  route.attempts = json.value("attempts", 1);
  const auto split = json.find("traffic_split");
  if (split != json.end() && split->is_array() && !split->empty()) {
    for (const Json& part : *split) {
      route.services.push_back({part.at("service").get<std::string>(),
                                part.at("weight").get<double>()});
    }
  } else {
    route.services.push_back({json.at("service").get<std::string>(), 1});
  }
  return route;
}

ModelSpec DecodeModel(const Json& json) {
  ModelSpec model;
  model.name = json.at("name").get<std::string>();
  model.group_size = json.value("size", 1);
  model.work_share = json.value("share", 0.0);
  model.pace = json.value("pace", 1.0);
  model.load_time = Seconds(json, "load_s");
  model.warm_time = Seconds(json, "warm_s");
  return model;
}

EngineSpec DecodeEngine(const Json& json) {
  EngineSpec engine;
  engine.slots = json.value("slots", 1);
  engine.cache_tokens = json.value("kv_capacity_tokens", std::int64_t{0});
  engine.step = Millis(json, "step_ms", 0);
  engine.step_per_request = Millis(json, "per_seq_ms", 0);
  engine.prompt_tokens_per_second = json.value("read_per_s", 0.0);
  engine.stride = json.value("stride", 1);
  engine.loads_per_second = json.value("loads_per_s", 0.0);
  engine.loads_at_once = json.value("loads_at_once", 1);
  engine.forming = Millis(json, "form_ms", 0);
  for (const Json& path : FieldAt(json, "delays")) {
    engine.domain_delay =
        std::max(engine.domain_delay, Millis(path, "delay_ms", 0));
  }
  for (const Json& model : FieldAt(json, "models")) {
    engine.models.push_back(DecodeModel(model));
  }
  return engine;
}

ServiceSpec DecodeService(const Json& json) {
  ServiceSpec service;
  service.name = json.at("name").get<std::string>();
  service.max_connections = json.value("max_connections", 0);
  service.cold_time = Millis(1000 * PositiveAt(json, "cold_start_s"));
  service.cold_requests_per_second = PositiveAt(json, "cold_per_s");
  const auto engine = json.find("engine");
  if (engine != json.end() && engine->is_object()) {
    service.engine = DecodeEngine(*engine);
  }
  return service;
}

CallerLimits DecodeLimits(const Json& json) {
  CallerLimits limits;
  if (json.is_null()) {
    return limits;
  }
  limits.header_bytes = json.value("max_header_bytes", limits.header_bytes);
  limits.body_bytes = json.value("max_body_bytes", limits.body_bytes);
  limits.header_timeout =
      Millis(json, "header_timeout_ms",
             static_cast<double>(ToMillis(limits.header_timeout)));
  limits.idle_timeout =
      Millis(json, "idle_timeout_ms",
             static_cast<double>(ToMillis(limits.idle_timeout)));
  return limits;
}

void DecodeKeys(const Json& json, RoutingConfig* config) {
  const auto tenants = json.find("tenants");
  if (tenants == json.end() || !tenants->is_array()) {
    return;
  }
  config->needs_keys = true;
  for (const Json& tenant : *tenants) {
    KeyHolder holder;
    holder.organisation = tenant.at("name").get<std::string>();
    const auto priority = tenant.find("priority");
    if (priority != tenant.end() && priority->is_number_integer()) {
      holder.priority = priority->get<int>();
    }
    holder.regions = DecodeRegions(tenant);
    for (const Json& key : FieldAt(tenant, "api_keys")) {
      config->holders[key.get<std::string>()] = holder;
    }
  }
}

constexpr char kRoutesField[] = "routes";
constexpr char kVersionField[] = "version";

// Decodes each route as soon as it is parsed and drops its JSON value. Routes
// are all that grows with a configuration.
class RouteParser {
 public:
  RouteParser(std::vector<RouteRule>* routes,
              const std::function<void()>& after_route)
      : routes(routes), after_route(after_route) {}

  // Callback of the JSON parser. Returns whether to keep the value.
  bool operator()(int depth, Json::parse_event_t event, const Json& parsed) {
    // Depths of the document's fields and of the elements of the list.
    constexpr int kFieldDepth = 1;
    constexpr int kElementDepth = 2;
    if (event == Json::parse_event_t::key && depth == kFieldDepth) {
      this->in_routes = parsed == kRoutesField;
    }
    if (!this->in_routes || event != Json::parse_event_t::object_end ||
        depth != kElementDepth) {
      return true;
    }
    this->routes->push_back(DecodeRoute(parsed));
    this->after_route();
    return false;
  }

 private:
  std::vector<RouteRule>* const routes;
  const std::function<void()>& after_route;
  bool in_routes = false;
};

// Ends the parse of a document at its version.
class VersionFinder : public nlohmann::json_sax<Json> {
 public:
  std::optional<std::int64_t> Version() const { return this->version; }

  bool null() override { return this->TakeValue(std::nullopt); }
  bool boolean(bool /*value*/) override {
    return this->TakeValue(std::nullopt);
  }
  bool number_integer(number_integer_t value) override {
    return this->TakeValue(value);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return this->TakeValue(static_cast<std::int64_t>(value));
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return this->TakeValue(std::nullopt);
  }
  bool string(string_t& /*value*/) override {
    return this->TakeValue(std::nullopt);
  }
  bool binary(binary_t& /*value*/) override {
    return this->TakeValue(std::nullopt);
  }
  bool start_object(std::size_t /*elements*/) override {
    ++this->depth;
    return this->TakeValue(std::nullopt);
  }
  bool key(string_t& name) override {
    this->at_version = this->depth == 1 && name == kVersionField;
    return true;
  }
  bool end_object() override {
    --this->depth;
    return true;
  }
  bool start_array(std::size_t /*elements*/) override {
    ++this->depth;
    return this->TakeValue(std::nullopt);
  }
  bool end_array() override {
    --this->depth;
    return true;
  }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  // Returns whether the parse goes on.
  bool TakeValue(std::optional<std::int64_t> value) {
    if (!this->at_version) {
      return true;
    }
    this->version = value;
    return false;
  }

  std::optional<std::int64_t> version;
  int depth = 0;
  bool at_version = false;  // The next value is that of the version.
};

RoutingConfig Decode(const std::string& text,
                     const std::function<void()>& after_route) {
  RoutingConfig config;
  const Json json = Json::parse(text, RouteParser(&config.routes, after_route));
  config.version = json.at(kVersionField).get<std::int64_t>();
  for (const Json& route : json.at(kRoutesField)) {
    config.routes.push_back(DecodeRoute(route));  // Fails: not an object.
  }
  for (const Json& entry : json.at("services")) {
    ServiceSpec service = DecodeService(entry);
    config.services[service.name] = std::move(service);
  }
  config.limits = DecodeLimits(FieldAt(json, "limits"));
  DecodeKeys(json, &config);
  return config;
}

}  // namespace

Result<RoutingConfig> DecodeRoutingConfig(
    const std::string& text,
    const std::function<void()>& after_route) {
  try {
    return Decode(text, after_route);
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("configuration: ") + error.what());
  }
}

std::optional<std::int64_t> FindConfigVersion(const std::string& text) {
  VersionFinder finder;
  Json::sax_parse(text, &finder);
  return finder.Version();
}

}  // namespace kumquatcart
