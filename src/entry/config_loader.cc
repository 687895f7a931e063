#include "entry/config_loader.h"

#include <utility>

#include "base/logging.h"
#include "platform/config_decoder.h"

namespace kumquatcart {

void ConfigLoader::Load(ConfigRecord record) {
  this->pending = std::move(record);
  if (this->decoding) {
    return;
  }
  this->decoding = true;
  this->loop->Spawn([this](Coroutine yield) {
    this->LoadPending(yield);
    this->decoding = false;
  });
}

void ConfigLoader::LoadPending(Coroutine yield) {
  while (this->pending) {
    const ConfigRecord record = *std::exchange(this->pending, std::nullopt);
    MonotonicTime step_ends = this->loop->Now() + this->max_step;
    Result<RoutingConfig> config = DecodeRoutingConfig(record.text, [&] {
      if (this->loop->Now() >= step_ends) {
        this->loop->Yield(yield);
        step_ends = this->loop->Now() + this->max_step;
      }
    });
    if (config.has_error()) {
      LogError("config_unreadable",
               {{"offset", record.offset}, {"reason", config.error().message}});
      continue;
    }
    this->adopt(std::move(config.value()));
  }
}

}  // namespace kumquatcart
