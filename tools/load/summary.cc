#include "load/summary.h"

#include <fmt/format.h>

namespace kumquatcart::load {

namespace {

// Findings listed by name at most.
constexpr std::size_t kNamedFindings = 5;

Json Quantiles(const LatencyHistogram& histogram) {
  constexpr double kMillis = 1000;
  return {{"count", histogram.Count()},
          {"p50_ms", histogram.QuantileSeconds(0.5) * kMillis},
          {"p95_ms", histogram.QuantileSeconds(0.95) * kMillis},
          {"p99_ms", histogram.QuantileSeconds(0.99) * kMillis}};
}

Json Named(const std::vector<std::string>& findings) {
  const std::size_t named = std::min(findings.size(), kNamedFindings);
  const std::vector<std::string> examples(
      findings.begin(), findings.begin() + static_cast<std::ptrdiff_t>(named));
  return {{"count", findings.size()}, {"examples", examples}};
}

void Increase(Json* object, const std::string& name) {
  (*object)[name] = object->value(name, 0) + 1;
}

struct Tally {
  Json outcomes = Json::object();
  Json by_kind = Json::object();
  Json faults = Json::object();
  std::vector<std::string> wrong;
  std::vector<std::string> silent;
  std::vector<std::string> unlabelled;
};

Tally Count(const std::vector<SentRequest>& sent) {
  Tally tally;
  for (const SentRequest& request : sent) {
    const Verdict& verdict = request.verdict;
    const std::string outcome =
        verdict.outcome.empty() ? ToString(verdict.fault) : verdict.outcome;
    Increase(&tally.outcomes, outcome);
    Json& kind = tally.by_kind[ToString(request.kind)];
    if (kind.is_null()) {
      kind = Json::object();
    }
    Increase(&kind, fmt::format("{}/{}", outcome, verdict.status));
    if (verdict.fault != AnswerFault::kNone) {
      Increase(&tally.faults, ToString(verdict.fault));
    }
    if (verdict.fault == AnswerFault::kWrongAnswer) {
      tally.wrong.push_back(request.request_id);
    } else if (verdict.fault == AnswerFault::kSilentEnd) {
      tally.silent.push_back(request.request_id);
    } else if (verdict.fault == AnswerFault::kMissingOutcome) {
      tally.unlabelled.push_back(request.request_id);
    }
  }
  return tally;
}

}  // namespace

Summary Summarise(const RunRecord& record,
                  const ExecutionFindings& executions,
                  const GroupUsage& usage,
                  bool require_counts) {
  const Tally tally = Count(record.Sent());
  Summary summary;
  summary.promises_held =
      tally.wrong.empty() && tally.silent.empty() && tally.unlabelled.empty() &&
      executions.doubles.empty() && executions.ran_though_refused.empty() &&
      executions.never_ran.empty() && (executions.checked || !require_counts);
  summary.report = {
      {"requests", record.Sent().size()},
      {"outcomes", tally.outcomes},
      {"by_kind", tally.by_kind},
      {"answer_faults", tally.faults},
      {"wrong_answers", Named(tally.wrong)},
      {"silent_ends", Named(tally.silent)},
      {"missing_outcomes", Named(tally.unlabelled)},
      {"executions_checked", executions.checked},
      {"doubles", Named(executions.doubles)},
      {"ran_though_refused", Named(executions.ran_though_refused)},
      {"completed_but_never_ran", Named(executions.never_ran)},
      {"first_token", Quantiles(record.first_token)},
      {"between_tokens", Quantiles(record.between_tokens)},
      {"whole_answer", Quantiles(record.whole_answer)},
      {"groups",
       {{"samples", usage.Samples()},
        {"most_whole", usage.MostWholeGroups()},
        {"fewest_whole", usage.FewestWholeGroups()},
        {"whole_at_end", usage.WholeGroups()},
        {"downtime_group_seconds", usage.DowntimeGroupSeconds()},
        {"stranded_accelerator_seconds", usage.StrandedAcceleratorSeconds()}}},
      {"promises_held", summary.promises_held}};
  return summary;
}

std::string RenderText(const Summary& summary) {
  std::string text;
  for (const auto& [name, value] : summary.report.items()) {
    text += fmt::format("{:<26}{}\n", name, value.dump());
  }
  return text;
}

}  // namespace kumquatcart::load
