#include "load/schedule.h"

#include <chrono>
#include <random>

#include <fmt/format.h>

namespace kumquatcart::load {

namespace {

// Length of a shared prompt prefix, in repeats of a short phrase.
constexpr int kPrefixRepeats = 16;

class Planner {
 public:
  Planner(const LoadSettings& settings,
          const std::vector<Caller>& callers,
          const std::string& run)
      : settings(settings), run(run), random(settings.seed) {
    const RequestMix& mix = settings.mix;
    this->kinds = std::discrete_distribution<int>(
        {mix.streamed, mix.whole, mix.idempotent, mix.non_idempotent,
         mix.keyed});
    std::vector<double> weights;
    for (const Caller& caller : callers) {
      weights.push_back(caller.weight);
    }
    this->owners =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }

  std::vector<PlannedRequest> Plan() {
    std::exponential_distribution<double> gap(
        this->settings.requests_per_second);
    const double end =
        std::chrono::duration<double>(this->settings.duration).count();
    std::vector<PlannedRequest> plan;
    for (double at = gap(this->random); at < end; at += gap(this->random)) {
      plan.push_back(this->MakeRequest(at, plan.size()));
    }
    return plan;
  }

 private:
  PlannedRequest MakeRequest(double at, std::size_t number) {
    PlannedRequest request;
    request.at =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
    request.kind = static_cast<RequestKind>(this->kinds(this->random));
    request.caller = this->owners(this->random);
    request.entry = this->random() % this->settings.entries.size();
    request.request_id = fmt::format("{}-{}", this->run, number);
    request.prompt = this->MakePrompt(number);
    request.max_tokens = this->settings.max_tokens;
    if (request.kind == RequestKind::kKeyed) {
      request.key = request.request_id + "-key";
      request.repeated = std::bernoulli_distribution(
          this->settings.repeated_part)(this->random);
    }
    return request;
  }

  std::string MakePrompt(std::size_t number) {
    const auto prefix =
        this->random() % static_cast<unsigned>(this->settings.prompt_prefixes);
    std::string prompt;
    for (int repeat = 0; repeat < kPrefixRepeats; ++repeat) {
      prompt += fmt::format("context {} part {} ", prefix, repeat);
    }
    return prompt + fmt::format("question {} of {}", number, this->run);
  }

  const LoadSettings& settings;
  const std::string& run;
  std::mt19937 random;
  std::discrete_distribution<int> kinds;
  std::discrete_distribution<std::size_t> owners;
};

}  // namespace

const char* ToString(RequestKind kind) {
  switch (kind) {
    case RequestKind::kStreamed:
      return "streamed";
    case RequestKind::kWhole:
      return "whole";
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non-idempotent";
    case RequestKind::kKeyed:
      return "keyed";
  }
  return "unknown";
}

std::vector<PlannedRequest> PlanRequests(const LoadSettings& settings,
                                         const std::vector<Caller>& callers,
                                         const std::string& run) {
  return Planner(settings, callers, run).Plan();
}

}  // namespace kumquatcart::load
