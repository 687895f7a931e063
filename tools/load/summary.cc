#include "load/summary.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "model/request.h"

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
  std::map<RequestKind, int> sent;
  std::map<RequestKind, int> completed;
};

bool CompletedEnough(const Tally& tally, double least) {
  return std::all_of(
      tally.sent.begin(), tally.sent.end(), [&](const auto& entry) {
        const auto completed = tally.completed.find(entry.first);
        const int count =
            completed == tally.completed.end() ? 0 : completed->second;
        return count >= least * entry.second;
      });
}

Tally Count(const std::vector<SentRequest>& sent) {
  Tally tally;
  for (const SentRequest& request : sent) {
    const Verdict& verdict = request.verdict;
    const std::string outcome =
        verdict.outcome.empty() ? ToString(verdict.fault) : verdict.outcome;
    Increase(&tally.outcomes, outcome);
    ++tally.sent[request.kind];
    if (outcome == ToString(RequestOutcome::kCompleted)) {
      ++tally.completed[request.kind];
    }
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

std::string RenderLine(const std::string& name, const std::string& value) {
  return fmt::format("{:<36}{}\n", name, value);
}

std::string RenderNumber(const std::string& name, const Json& value) {
  return RenderLine(name, fmt::format("{:.1f}", value.get<double>()));
}

std::string RenderFindings(const std::string& name, const Json& findings) {
  const Json& examples = findings["examples"];
  return RenderLine(name, findings["count"].dump() +
                              (examples.empty() ? "" : " " + examples.dump()));
}

std::string RenderLatency(const std::string& name, const Json& quantiles) {
  return RenderLine(name + " p50/p95/p99 ms",
                    fmt::format("{:.0f}/{:.0f}/{:.0f} of {}",
                                quantiles["p50_ms"].get<double>(),
                                quantiles["p95_ms"].get<double>(),
                                quantiles["p99_ms"].get<double>(),
                                quantiles["count"].dump()));
}

}  // namespace

Summary Summarise(const RunRecord& record,
                  const ExecutionFindings& executions,
                  const GroupUsage& usage,
                  const PassMarks& marks) {
  const Tally tally = Count(record.Sent());
  Summary summary;
  summary.promises_held =
      tally.wrong.empty() && tally.silent.empty() && tally.unlabelled.empty() &&
      executions.doubles.empty() && executions.ran_though_refused.empty() &&
      executions.never_ran.empty() &&
      (executions.checked || !marks.require_counts);
  summary.enough_completed = CompletedEnough(tally, marks.least_completed);
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
      {"enough_completed", summary.enough_completed},
      {"promises_held", summary.promises_held}};
  return summary;
}

std::string RenderText(const Summary& summary) {
  const Json& report = summary.report;
  std::string text = RenderLine("requests", report["requests"].dump());
  for (const auto& [kind, outcomes] : report["by_kind"].items()) {
    for (const auto& [outcome, count] : outcomes.items()) {
      text += RenderLine(fmt::format("  {} {}", kind, outcome), count.dump());
    }
  }
  for (const char* check :
       {"doubles", "wrong_answers", "silent_ends", "missing_outcomes",
        "ran_though_refused", "completed_but_never_ran"}) {
    text += RenderFindings(check, report[check]);
  }
  for (const char* latency :
       {"first_token", "between_tokens", "whole_answer"}) {
    text += RenderLatency(latency, report[latency]);
  }
  const Json& groups = report["groups"];
  text += RenderLine("whole groups, most/fewest/end",
                     fmt::format("{}/{}/{}", groups["most_whole"].dump(),
                                 groups["fewest_whole"].dump(),
                                 groups["whole_at_end"].dump()));
  text += RenderNumber("group downtime, group-seconds",
                       groups["downtime_group_seconds"]);
  text += RenderNumber("stranded, accelerator-seconds",
                       groups["stranded_accelerator_seconds"]);
  for (const char* verdict :
       {"executions_checked", "enough_completed", "promises_held"}) {
    text += RenderLine(verdict, report[verdict].get<bool>() ? "yes" : "no");
  }
  return text;
}

}  // namespace kumquatcart::load
