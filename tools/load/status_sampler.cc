#include "load/status_sampler.h"

#include <chrono>

#include "load/http_call.h"

namespace kumquatcart::load {

namespace {

constexpr Duration kSampleTimeout = std::chrono::milliseconds(500);

}  // namespace

StatusSampler::StatusSampler(const LoadSettings* settings, Clock* clock)
    : settings(settings), clock(clock) {
  this->thread = std::thread([this] { this->Run(); });
}

StatusSampler::~StatusSampler() {
  this->Stop();
}

void StatusSampler::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void StatusSampler::Run() {
  while (!this->stopping) {
    this->SampleFirstAnswering();
    this->clock->SleepFor(this->settings->sample_interval);
  }
  this->SampleFirstAnswering();
}

void StatusSampler::SampleFirstAnswering() {
  for (const Endpoint& entry : this->settings->entries) {
    const CallRequest call{entry, "GET", "/status", {}, "", kSampleTimeout};
    const Result<CallAnswer> answer = Call(call, [](std::string_view) {});
    if (!answer.has_value() || !answer.value().whole) {
      continue;
    }
    const Result<StatusSample> sample = DecodeStatusSample(answer.value().body);
    if (sample.has_value()) {
      this->usage.Add(sample.value(), this->clock->Now());
      return;
    }
  }
}

}  // namespace kumquatcart::load
