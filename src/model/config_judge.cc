#include "model/config_judge.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "model/change_set.h"
#include "model/config_access.h"
#include "model/config_rules.h"

namespace kumquatcart {

namespace {

// Applies one change set to a view and undoes it on request.
class ChangeApplication {
 public:
  ChangeApplication(ConfigView* view, const LogRecord& record)
      : view(view), offset(record.offset) {}

  // Checks owner, kind and revision; applies the change when it can be.
  void Apply(const ObjectChange& change,
             const PartnerId& partner,
             RuleViolations* violations) {
    std::optional<ConfigObject> before = ReadObject(*this->view, change.name);
    CheckOwner(change, partner, before, violations);
    CheckRevision(change, before, violations);
    if (before.has_value() && before->kind != change.kind) {
      violations->push_back(
          {Label(change), "name", QuoteValue(change.name.value),
           fmt::format("is the name of a {}", ToString(before->kind))});
      return;
    }
    if (change.operation == ChangeOperation::kDelete) {
      EraseObject(change.kind, change.name, this->view);
      this->done.push_back({change.kind, change.name, std::move(before)});
      return;
    }
    const ConfigObject after = {
        change.kind, {change.name, change.owner, this->offset}, change.spec};
    const Status put = PutObject(after, this->view);
    if (put.has_error()) {
      violations->push_back({Label(change), "spec", "", put.error().message});
      return;
    }
    this->done.push_back({change.kind, change.name, std::move(before)});
  }

  // Restores what was there before, newest change first.
  void Undo() {
    for (auto step = this->done.rbegin(); step != this->done.rend(); ++step) {
      if (step->before.has_value()) {
        // The object came out of the view, so it fits its kind.
        static_cast<void>(PutObject(*step->before, this->view));
      } else {
        EraseObject(step->kind, step->name, this->view);
      }
    }
  }

  ConfigDiff Diff() const {
    ConfigDiff diff;
    for (const Step& step : this->done) {
      std::optional<ObjectDifference> difference =
          DiffObject(step.before, ReadObject(*this->view, step.name));
      if (difference.has_value()) {
        diff.push_back(std::move(*difference));
      }
    }
    return diff;
  }

  // Objects whose cross-object rules the change set may have broken.
  std::set<ObjectId> AffectedObjects() const {
    std::set<ObjectId> affected;
    std::set<ObjectName> touched;
    for (const Step& step : this->done) {
      affected.insert({step.kind, step.name});
      this->AddTouchedNames(step, &touched);
    }
    // Placement intents depend on the class of the service they name, hence
    // referrers of referrers.
    for (int level = 0; level < kReferenceLevels && !touched.empty(); ++level) {
      std::set<ObjectName> referrer_names;
      for (const ObjectId& referrer : FindReferrers(*this->view, touched)) {
        affected.insert(referrer);
        referrer_names.insert(referrer.name);
      }
      touched = std::move(referrer_names);
    }
    return affected;
  }

 private:
  struct Step {
    ObjectKind kind;
    ObjectName name;
    std::optional<ConfigObject> before;
  };

  static constexpr int kReferenceLevels = 2;

  static std::string Label(const ObjectChange& change) {
    return ObjectLabel(change.kind, change.name);
  }

  static void CheckOwner(const ObjectChange& change,
                         const PartnerId& partner,
                         const std::optional<ConfigObject>& before,
                         RuleViolations* violations) {
    if (change.owner != partner) {
      violations->push_back(
          {Label(change), "owner", QuoteValue(change.owner.value),
           fmt::format("the change set is published for {}", partner.value)});
    }
    if (before.has_value() && before->meta.owner != change.owner) {
      violations->push_back(
          {Label(change), "owner", QuoteValue(change.owner.value),
           fmt::format("the object belongs to {}", before->meta.owner.value)});
    }
  }

  static void CheckRevision(const ObjectChange& change,
                            const std::optional<ConfigObject>& before,
                            RuleViolations* violations) {
    const std::int64_t current = before.has_value() ? before->meta.revision : 0;
    const bool deletes_nothing =
        change.operation == ChangeOperation::kDelete && !before.has_value();
    if (deletes_nothing) {
      violations->push_back(
          {Label(change), "", "", "can't be deleted: it does not exist"});
      return;
    }
    if (change.expected_revision != current) {
      violations->push_back(
          {Label(change), "revision", std::to_string(change.expected_revision),
           fmt::format("the revision in force is {}; plan again", current)});
    }
  }

  // Names whose referrers may have been broken by the step.
  void AddTouchedNames(const Step& step, std::set<ObjectName>* touched) const {
    if (step.kind == ObjectKind::kGrant) {
      AddGrantedName(step.before, touched);
      AddGrantedName(ReadObject(*this->view, step.name), touched);
    }
    if (step.before.has_value() && this->CanBreakReferrers(step)) {
      touched->insert(step.name);
    }
  }

  // A replaced object keeps its kind and owner, so only the kinds that
  // placement intents look into matter.
  bool CanBreakReferrers(const Step& step) const {
    return step.kind == ObjectKind::kReplicaGroupClass ||
           step.kind == ObjectKind::kModelService ||
           !FindObject(*this->view, step.name).has_value();
  }

  static void AddGrantedName(const std::optional<ConfigObject>& grant,
                             std::set<ObjectName>* touched) {
    if (grant.has_value()) {
      touched->insert(ObjectName(grant->spec.value("object", std::string())));
    }
  }

  ConfigView* view;
  Offset offset;
  std::vector<Step> done;
};

ReferenceScope ScopeOf(const DecodedChangeSet& decoded) {
  ReferenceScope scope;
  for (const ObjectChange& change : decoded.change_set.changes) {
    if (change.operation == ChangeOperation::kDelete) {
      scope.deleted.emplace(change.name, change.kind);
    }
  }
  scope.malformed = decoded.malformed_names;
  return scope;
}

void CheckRecordId(const LogRecord& record, DecodedChangeSet* decoded) {
  const AppendId& id = decoded->change_set.id;
  if (decoded->violations.empty() && id != record.append_id) {
    decoded->violations.push_back({"change set", "id", QuoteValue(id.value),
                                   "must be the append id of its record"});
  }
}

void SortUnique(RuleViolations* violations) {
  std::sort(violations->begin(), violations->end());
  violations->erase(std::unique(violations->begin(), violations->end()),
                    violations->end());
}

}  // namespace

JudgedRecord JudgeRecord(ConfigView view, const LogRecord& record) {
  DecodedChangeSet decoded = DecodeChangeSet(record.payload);
  CheckRecordId(record, &decoded);
  const ChangeSet& change_set = decoded.change_set;

  JudgedRecord judged;
  judged.view = std::move(view);
  judged.view.place = judged.view.CurrentPlace().Next(record);
  judged.view.offset = record.offset;
  ChangeApplication application(&judged.view, record);
  RuleViolations violations = std::move(decoded.violations);
  for (const ObjectChange& change : change_set.changes) {
    application.Apply(change, change_set.partner, &violations);
  }
  const ReferenceScope scope = ScopeOf(decoded);
  for (const ObjectId& object : application.AffectedObjects()) {
    CheckObject(judged.view, object, scope, &violations);
  }
  SortUnique(&violations);

  ConfigVerdict& verdict = judged.verdict;
  verdict.offset = record.offset;
  verdict.time_unix_ms = record.time_unix_ms;
  verdict.append_id = record.append_id;
  verdict.actor = change_set.actor;
  verdict.partner = change_set.partner;
  verdict.accepted = violations.empty();
  if (verdict.accepted) {
    verdict.diff = application.Diff();
  } else {
    application.Undo();
  }
  verdict.violations = std::move(violations);
  return judged;
}

}  // namespace kumquatcart
