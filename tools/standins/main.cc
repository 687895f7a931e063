// Plays the platform, the model engines and the plain services.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/clock.h"
#include "base/logging.h"
#include "standins/platform_api.h"
#include "standins/stand_ins.h"

namespace kumquatcart::standins {
namespace {

struct Options {
  std::string topology_file;
  std::string listen = "127.0.0.1:18000";
  StandInsSettings settings;
};

void AddMillis(CLI::App* app,
               const std::string& flag,
               Duration* target,
               const std::string& help) {
  app->add_option_function<std::int64_t>(
         flag,
         [target](std::int64_t value) {
           *target = std::chrono::milliseconds(value);
         },
         help + " [" + std::to_string(ToMillis(*target)) + "]")
      ->check(CLI::NonNegativeNumber);
}

void AddOptions(CLI::App* app, Options* options) {
  app->option_defaults()->always_capture_default();
  StandInsSettings& settings = options->settings;
  app->add_option("--topology", options->topology_file, "JSON file of the VMs")
      ->required()
      ->check(CLI::ExistingFile);
  app->add_option("--listen", options->listen, "The platform's IP:PORT");
  app->add_option("--append-rate", settings.log.appends_per_second,
                  "Log appends a second");
  app->add_option("--weight-store-rate", settings.weight_store_bytes_per_second,
                  "Bytes a second of the weight store")
      ->check(CLI::PositiveNumber);
  app->add_option("--weights-bytes", settings.engine.weights_bytes_per_vm,
                  "Bytes of weights that each VM loads");
  app->add_option("--streams-at-once", settings.engine.streams_at_once,
                  "Streams that one group runs at once");
  app->add_option("--cached-blocks", settings.engine.cached_prefixes,
                  "Blocks of prompt in the prefix cache");
  AddMillis(app, "--log-retention-ms", &settings.log.retention,
            "How long the log keeps records");
  AddMillis(app, "--vm-list-lag-ms", &settings.vm_list_lag,
            "Lag of the VM list");
  AddMillis(app, "--load-lag-ms", &settings.engine.load_lag,
            "Lag of the load that engines report");
  AddMillis(app, "--first-token-ms", &settings.engine.first_token,
            "Time to the first token of an uncached prompt");
  AddMillis(app, "--token-interval-ms", &settings.engine.token_interval,
            "Time from token to token");
  AddMillis(app, "--service-delay-ms", &settings.service_delay,
            "Time a plain service takes");
}

Result<Endpoint> ParseListen(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const int port =
      colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  if (port <= 0 || port > UINT16_MAX) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "--listen must be IP:PORT, got " + text);
  }
  return Endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Status Run(const Options& options) {
  BOOST_OUTCOME_TRY(topology, ReadTopology(options.topology_file));
  BOOST_OUTCOME_TRY(endpoint, ParseListen(options.listen));
  RuntimeClock clock;
  boost::asio::io_context context(1);
  Scheduler scheduler(&context, &clock);
  StandIns stand_ins(&context, &scheduler, options.settings, topology);
  PlatformApi api(&context, &scheduler, &stand_ins, endpoint);
  BOOST_OUTCOME_TRYV(stand_ins.Start());
  BOOST_OUTCOME_TRYV(api.Start());
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const auto&, int) { context.stop(); });
  LogInfo("standins_ready",
          {{"listen", options.listen}, {"vms", topology.vms.size()}});
  context.run();
  return Ok();
}

}  // namespace
}  // namespace kumquatcart::standins

int main(int argc, char** argv) {
  CLI::App app("Stand-ins for the platform, model engines and plain services");
  kumquatcart::standins::Options options;
  kumquatcart::standins::AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  const kumquatcart::Status done = kumquatcart::standins::Run(options);
  if (!done.has_value()) {
    kumquatcart::LogError("standins_failed", {{"error", done.error().message}});
    return 1;
  }
  return 0;
}
