// Cost of the configuration against its size, as CSV.
//
// Usage: config_judge_bench
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/ids.h"
#include "model/change_set.h"
#include "model/config_access.h"
#include "model/config_judge.h"
#include "model/config_snapshot.h"

namespace kumquatcart {
namespace {

// Objects that one organisation brings: itself, two quotas and a token.
constexpr int kObjectsPerOrganisation = 4;
constexpr int kRounds = 200;

using BenchTime = std::chrono::steady_clock;

void Put(ObjectKind kind,
         const std::string& name,
         Json spec,
         std::int64_t revision,
         ChangeSet* change_set) {
  change_set->changes.push_back({ChangeOperation::kPut, kind, ObjectName(name),
                                 PartnerId("armor"), std::move(spec),
                                 revision});
}

LogRecord MakeRecord(ChangeSet change_set, Offset offset) {
  change_set.id = AppendId("id" + std::to_string(offset));
  change_set.partner = PartnerId("armor");
  return {offset, 0, change_set.id, EncodeChangeSet(change_set)};
}

Json QuotaSpec(const std::string& organisation, const std::string& service) {
  return {{"organisation", organisation},
          {"service", service},
          {"requests_per_second", 1},
          {"tokens_per_second", 100}};
}

ConfigView BuildView(int organisations) {
  ChangeSet services;
  Put(ObjectKind::kReplicaGroupClass, "pair",
      {{"vm_count", 2}, {"accelerators_per_vm", 8}}, 0, &services);
  Put(ObjectKind::kModelService, "llm",
      {{"replica_group_class", "pair"}, {"version", "v1"}}, 0, &services);
  Put(ObjectKind::kPlainService, "desk", Json::object(), 0, &services);
  ConfigView view = JudgeRecord(ConfigView(), MakeRecord(services, 1)).view;
  for (int index = 0; index < organisations; ++index) {
    const std::string name = fmt::format("org-{}", index);
    ChangeSet change_set;
    Put(ObjectKind::kOrganisation, name, Json::object(), 0, &change_set);
    Put(ObjectKind::kQuota, name + ".llm", QuotaSpec(name, "llm"), 0,
        &change_set);
    Put(ObjectKind::kQuota, name + ".desk", QuotaSpec(name, "desk"), 0,
        &change_set);
    Put(ObjectKind::kToken, name + "-token",
        {{"organisation", name}, {"sha256", Sha256Hex(name)}}, 0, &change_set);
    const LogRecord record = MakeRecord(change_set, view.offset + 1);
    view = JudgeRecord(std::move(view), record).view;
  }
  return view;
}

// Mean nanoseconds of `work` over kRounds calls.
double MeasureNanos(const std::function<void()>& work) {
  const BenchTime::time_point start = BenchTime::now();
  for (int round = 0; round < kRounds; ++round) {
    work();
  }
  const std::chrono::duration<double, std::nano> elapsed =
      BenchTime::now() - start;
  return elapsed.count() / kRounds;
}

// Judges change sets that put one object again and again, each accepted.
double MeasureJudge(ConfigView view,
                    ObjectKind kind,
                    const std::string& name,
                    const Json& spec) {
  return MeasureNanos([&] {
    ChangeSet change_set;
    const auto entry = FindObject(view, ObjectName(name));
    Put(kind, name, spec, entry->meta->revision, &change_set);
    const LogRecord record = MakeRecord(change_set, view.offset + 1);
    view = JudgeRecord(std::move(view), record).view;
  });
}

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

void PrintRow(int organisations) {
  const std::size_t before = AllocatedBytes();
  const ConfigView view = BuildView(organisations);
  const std::size_t bytes = AllocatedBytes() - before;
  const double organisation_ns =
      MeasureJudge(view, ObjectKind::kOrganisation, "org-0", {{"weight", 2}});
  const double quota_ns = MeasureJudge(view, ObjectKind::kQuota, "org-0.llm",
                                       QuotaSpec("org-0", "llm"));
  const Json snapshot = EncodeSnapshot(view);
  const double encode_ns = MeasureNanos([&] { EncodeSnapshot(view).dump(); });
  const std::string text = snapshot.dump();
  const double decode_ns =
      MeasureNanos([&] { static_cast<void>(DecodeSnapshotText(text)); });
  ConfigView copy;
  const double copy_ns = MeasureNanos([&] { copy = ConfigView(view); });
  const int objects = 3 + organisations * kObjectsPerOrganisation;
  fmt::print("{},{:.0f},{:.0f},{:.0f},{:.2f},{:.2f},{},{}\n", objects,
             organisation_ns, quota_ns, copy_ns, encode_ns / 1e6,
             decode_ns / 1e6, text.size(), bytes);
}

}  // namespace
}  // namespace kumquatcart

int main() {
  fmt::print(
      "objects,judge_organisation_ns,judge_quota_ns,copy_view_ns,"
      "snapshot_encode_ms,snapshot_decode_ms,snapshot_bytes,view_bytes\n");
  for (const int organisations : {10, 60, 250, 1000, 4000}) {
    kumquatcart::PrintRow(organisations);
  }
  return 0;
}
