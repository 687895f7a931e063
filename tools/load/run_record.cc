#include "load/run_record.h"

#include <utility>

namespace kumquatcart::load {

void RunRecord::Add(SentRequest sent) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->sent.push_back(std::move(sent));
}

}  // namespace kumquatcart::load
