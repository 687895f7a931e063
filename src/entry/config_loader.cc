#include "entry/config_loader.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "platform/config_decoder.h"

namespace kumquatcart {

namespace {

// Bounds the memory of versions that wait.
constexpr std::size_t kMaxPending = 8;

}  // namespace

void ConfigLoader::Load(ConfigRecord record) {
  if (this->pending.size() == kMaxPending) {
    this->pending.erase(this->pending.begin());
  }
  this->pending.push_back(std::move(record));
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
  while (!this->pending.empty()) {
    const ConfigRecord record = std::move(this->pending.back());
    this->pending.pop_back();
    if (!this->DecodeAndAdopt(record, yield)) {
      continue;
    }
    const auto is_older = [&record](const ConfigRecord& other) {
      return other.position.era == record.position.era &&
             other.position < record.position;
    };
    this->pending.erase(
        std::remove_if(this->pending.begin(), this->pending.end(), is_older),
        this->pending.end());
  }
}

bool ConfigLoader::DecodeAndAdopt(const ConfigRecord& record, Coroutine yield) {
  MonotonicTime step_ends = this->loop->Now() + this->max_step;
  Result<RoutingConfig> config = DecodeRoutingConfig(record.text, [&] {
    if (this->loop->Now() >= step_ends) {
      this->loop->Yield(yield);
      step_ends = this->loop->Now() + this->max_step;
    }
  });
  if (config.has_error()) {
    LogError("config_unreadable", {{"offset", record.position.offset},
                                   {"reason", config.error().message}});
    return false;
  }
  return this->adopt(std::move(config.value()));
}

}  // namespace kumquatcart
