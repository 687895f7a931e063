// validate, plan and apply.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "cli/capacity_check.h"
#include "cli/change_publisher.h"
#include "cli/in_force_waiter.h"
#include "cli/operator_commands.h"

namespace kumquatcart::internal {

namespace {

constexpr std::int64_t kDefaultInForceTimeoutSeconds = 30;

// What the three commands do before they part: read the files and the
// configuration in force, and judge the change set.
struct Trial {
  OperatorChanges changes;
  ChangeSet change_set;
  ConfigHistory history;
  JudgedRecord judged;
};

// The payload of the change set together with the files' malformed entries, so
// that references to those are not reported as well.
std::string TrialPayload(const Trial& trial) {
  std::string payload = EncodeChangeSet(trial.change_set);
  if (trial.changes.errors.empty()) {
    return payload;
  }
  Json json = Json::parse(payload);
  for (const Json& entry : trial.changes.malformed_puts) {
    json["put"].push_back(entry);
  }
  for (const Json& entry : trial.changes.malformed_deletes) {
    json["delete"].push_back(entry);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Errors of the files first, then those that the judge adds to them.
std::vector<std::string> CollectErrors(const Trial& trial) {
  std::vector<std::string> errors = trial.changes.errors;
  const bool files_are_whole = errors.empty();
  for (const RuleViolation& violation : trial.judged.verdict.violations) {
    const bool names_object = violation.object.find('/') != std::string::npos;
    const std::string line = WithFiles(trial.changes, {violation}).front();
    const bool is_known =
        std::find(errors.begin(), errors.end(), line) != errors.end();
    if (!is_known && (names_object || files_are_whole)) {
      errors.push_back(line);
    }
  }
  return errors;
}

class ChangeCommand : public OperatorCommand {
 public:
  using OperatorCommand::OperatorCommand;

 protected:
  void AddOwnOptions(CLI::App* app) override {
    app->add_option("files", this->files,
                    "Files of objects; - reads standard "
                    "input.")
        ->required();
    this->AddMoreOptions(app);
  }

  virtual void AddMoreOptions(CLI::App* app) { static_cast<void>(app); }

  ExitCode RunWith(const CommandContext& context,
                   OperatorBackend* backend) override {
    Trial trial;
    trial.changes = ReadOperatorFiles(this->files, context.input);
    Result<ConfigHistory> history = ReadConfigInForce(backend->Log());
    if (history.has_error() && !trial.changes.errors.empty()) {
      return this->Refuse(context, trial.changes.errors);
    }
    if (history.has_error()) {
      return Fail(context, ExitCode::kRefused,
                  "nothing was published: the log can't be read: " +
                      history.error().message);
    }
    trial.history = std::move(history).value();
    trial.change_set =
        MakeChangeSet(trial.changes, trial.history.view, this->options.actor,
                      this->options.partner, context.clock.WallNow());
    if (trial.change_set.changes.empty() && trial.changes.errors.empty()) {
      context.output << "nothing to change: all objects are in force as "
                        "written\n";
      return ExitCode::kDone;
    }
    trial.judged = JudgeRecord(trial.history.view,
                               {trial.history.view.offset + 1, 0,
                                trial.change_set.id, TrialPayload(trial)});
    const std::vector<std::string> errors = CollectErrors(trial);
    if (!errors.empty()) {
      return this->Refuse(context, errors);
    }
    return this->RunTrial(context, backend, trial);
  }

  virtual ExitCode RunTrial(const CommandContext& context,
                            OperatorBackend* backend,
                            const Trial& trial) = 0;

  ExitCode Refuse(const CommandContext& context,
                  const std::vector<std::string>& reasons) const {
    if (this->options.IsJson()) {
      context.output << Json{{"outcome", "refused"}, {"errors", reasons}}.dump(
                            2, ' ', false, Json::error_handler_t::replace)
                     << "\n";
    }
    for (const std::string& reason : reasons) {
      context.errors << reason << "\n";
    }
    return Fail(context, ExitCode::kRefused,
                fmt::format("refused: {} errors", reasons.size()));
  }

  void WarnOfCapacity(const CommandContext& context,
                      OperatorBackend* backend,
                      const ConfigView& view) const {
    const Result<VmTable> vms = backend->Vms()->Fetch();
    if (vms.has_error()) {
      context.errors << "warning: capacity not checked: " << vms.error().message
                     << "\n";
      return;
    }
    for (const std::string& warning : CheckCapacity(view, vms.value())) {
      context.errors << "warning: " << warning << "\n";
    }
  }

  void PrintDiff(const CommandContext& context, const ConfigDiff& diff) const {
    if (this->options.IsJson()) {
      context.output << Json(diff).dump(2, ' ', false,
                                        Json::error_handler_t::replace)
                     << "\n";
      return;
    }
    context.output << ToString(diff);
  }

 private:
  std::vector<std::string> files;
};

class ValidateCommand : public ChangeCommand {
 public:
  using ChangeCommand::ChangeCommand;
  std::string Name() const override { return "validate"; }
  std::string Help() const override {
    return "Check files against the configuration in force.";
  }

 protected:
  ExitCode RunTrial(const CommandContext& context,
                    OperatorBackend* backend,
                    const Trial& trial) override {
    this->WarnOfCapacity(context, backend, trial.judged.view);
    context.output << "valid\n";
    return ExitCode::kDone;
  }
};

class PlanCommand : public ChangeCommand {
 public:
  using ChangeCommand::ChangeCommand;
  std::string Name() const override { return "plan"; }
  std::string Help() const override {
    return "Show what files would change, without publishing them.";
  }

 protected:
  ExitCode RunTrial(const CommandContext& context,
                    OperatorBackend* backend,
                    const Trial& trial) override {
    this->WarnOfCapacity(context, backend, trial.judged.view);
    this->PrintDiff(context, trial.judged.verdict.diff);
    return ExitCode::kDone;
  }
};

class ApplyCommand : public ChangeCommand {
 public:
  using ChangeCommand::ChangeCommand;
  std::string Name() const override { return "apply"; }
  std::string Help() const override {
    return "Publish files as one change set and report its verdict.";
  }

 protected:
  void AddMoreOptions(CLI::App* app) override {
    app->add_flag("--wait-in-force", this->wait_in_force,
                  "Return when every live entry VM has it in force.");
    app->add_option("--timeout-s", this->timeout_s, "Longest wait in seconds.")
        ->capture_default_str()
        ->check(CLI::Range(std::int64_t{0}, std::int64_t{3600}));
  }

  ExitCode RunTrial(const CommandContext& context,
                    OperatorBackend* backend,
                    const Trial& trial) override {
    const PublishResult result = PublishChangeSet(
        backend->Log(), &context.clock, trial.change_set, trial.history);
    const std::string& id = trial.change_set.id.value;
    switch (result.outcome) {
      case PublishOutcome::kAccepted:
        return this->ReportAccepted(context, backend, result.verdict);
      case PublishOutcome::kRefused:
        return this->Refuse(
            context, WithFiles(trial.changes, result.verdict.violations));
      case PublishOutcome::kNotAppended:
        return Fail(context, ExitCode::kRefused,
                    "nothing was published: " + result.reason);
      case PublishOutcome::kUnknown:
        break;
    }
    return Fail(context, ExitCode::kUnknown,
                fmt::format("outcome unknown: {}\nfind out with: kumquatcart "
                            "history --append-id {}",
                            result.reason, id));
  }

 private:
  ExitCode ReportAccepted(const CommandContext& context,
                          OperatorBackend* backend,
                          const ConfigVerdict& verdict) {
    if (this->options.IsJson()) {
      context.output << Json{{"outcome", "accepted"},
                             {"offset", verdict.offset},
                             {"append_id", verdict.append_id}}
                            .dump()
                     << "\n";
    } else {
      context.output << "accepted at offset " << verdict.offset << "\n";
    }
    return this->wait_in_force ? this->Wait(context, backend, verdict.offset)
                               : ExitCode::kDone;
  }

  ExitCode Wait(const CommandContext& context,
                OperatorBackend* backend,
                Offset offset) {
    const Result<std::vector<Endpoint>> seeds =
        ParseEndpoints(this->options.nodes);
    if (seeds.has_error()) {
      return Fail(context, ExitCode::kUsage, seeds.error().message);
    }
    const std::vector<LaggingNode> lagging =
        WaitInForce(backend, &context.clock, seeds.value(), offset,
                    std::chrono::seconds(this->timeout_s));
    if (lagging.empty()) {
      context.errors << "in force on every live entry VM\n";
      return ExitCode::kDone;
    }
    for (const LaggingNode& node : lagging) {
      context.errors << "not in force on " << node.endpoint.ToString() << ": "
                     << node.state << "\n";
    }
    return Fail(context, ExitCode::kUnknown,
                "accepted, but not yet in force everywhere; look again with: "
                "kumquatcart status");
  }

  bool wait_in_force = false;
  std::int64_t timeout_s = kDefaultInForceTimeoutSeconds;
};

}  // namespace

std::unique_ptr<Command> MakeValidateCommand(OperatorBackendFactory factory) {
  return std::make_unique<ValidateCommand>(std::move(factory));
}

std::unique_ptr<Command> MakePlanCommand(OperatorBackendFactory factory) {
  return std::make_unique<PlanCommand>(std::move(factory));
}

std::unique_ptr<Command> MakeApplyCommand(OperatorBackendFactory factory) {
  return std::make_unique<ApplyCommand>(std::move(factory));
}

}  // namespace kumquatcart::internal
