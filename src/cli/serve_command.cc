#include "cli/serve_command.h"

#include <pplx/threadpool.h>

#include "base/logging.h"
#include "base/stop_signal.h"
#include "cli/entry_node.h"
#include "cli/setting_options.h"

namespace kumquatcart {

namespace {

LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

// The shared key, or an empty one where none is set.
Result<std::string> LoadPeerKey(const PeerSettings& peers) {
  return peers.key_file.empty() ? std::string() : ReadPeerKey(peers.key_file);
}

}  // namespace

void ServeCommand::AddOptions(CLI::App* app) {
  for (const SettingGroup& group : DescribeSettings(&this->settings)) {
    AddSettingOptions(app, group);
  }
}

ExitCode ServeCommand::Run(const CommandContext& context) {
  const NodeSettings& node_settings = this->settings.node;
  ConfigureLogging(ParseLogLevel(node_settings.log_level),
                   node_settings.log_format == "json" ? LogFormat::kJson
                                                      : LogFormat::kKeyValue);
  const Result<NodeIdentity> identity = MakeIdentity(this->settings);
  if (identity.has_error()) {
    context.errors << identity.error().message << '\n';
    return ExitCode::kUsage;
  }
  const Result<std::string> peer_key = LoadPeerKey(this->settings.peers);
  if (peer_key.has_error()) {
    context.errors << peer_key.error().message << '\n';
    return ExitCode::kUsage;
  }
  // Must come before anything else of cpprestsdk, which starts 40 threads
  // otherwise.
  crossplat::threadpool::initialize_with_threads(
      static_cast<std::size_t>(node_settings.http_threads));
  StopSignal stop_signal;
  EntryNode node(&context.clock, this->settings, identity.value(),
                 peer_key.value());
  const Status started = node.Start();
  if (started.has_error()) {
    context.errors << started.error().message << '\n';
    return ExitCode::kRefused;
  }
  const int number = stop_signal.Wait();
  LogInfo("stop_requested", {{"signal", number}});
  node.Drain();
  node.Stop();
  return ExitCode::kDone;
}

}  // namespace kumquatcart
