// Decodes versions of the configuration without holding up the event loop.
#ifndef ENTRY_CONFIG_LOADER_H_
#define ENTRY_CONFIG_LOADER_H_

#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "model/routing_config.h"
#include "net/event_loop.h"
#include "platform/topic_batch.h"

namespace kumquatcart {

// A version of the configuration as the store holds it.
struct ConfigRecord {
  std::string text;
  TopicPosition position;

  auto Tie() const { return std::tie(this->text, this->position); }
};

// Decodes one version at a time in a coroutine, which lets the loop handle
// other events after each `max_step`. Of versions that arrive during a decode
// the last one is decoded next; those of the same era before it are dropped
// once it is adopted. Must be used on the event loop's thread.
class ConfigLoader {
 public:
  // Returns whether the version is in force now.
  using Adopt = std::function<bool(RoutingConfig)>;

  ConfigLoader(EventLoop* loop, Duration max_step, Adopt adopt)
      : loop(loop), max_step(max_step), adopt(std::move(adopt)) {}

  // Calls `adopt` later, unless the version cannot be decoded, which is logged,
  // or a newer one is adopted before.
  void Load(ConfigRecord record);

 private:
  void LoadPending(Coroutine yield);
  bool DecodeAndAdopt(const ConfigRecord& record, Coroutine yield);

  EventLoop* const loop;
  const Duration max_step;
  const Adopt adopt;
  std::vector<ConfigRecord> pending;  // Newest last.
  bool decoding = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_CONFIG_LOADER_H_
