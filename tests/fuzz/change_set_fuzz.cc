// Fuzz target of everything that reads configuration from outside: the change
// set decoder, the judge, the snapshot decoder and the audit decoder.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "control/audit_trail.h"
#include "model/change_set_builder.h"
#include "model/config_judge.h"
#include "model/config_snapshot.h"

namespace kumquatcart {
namespace {

const ConfigView& BaseView() {
  static const ConfigView view =
      JudgeRecord(ConfigView(),
                  ChangeSetBuilder("base")
                      .Put(ObjectKind::kOrganisation, "org", Json::object())
                      .Record(1))
          .view;
  return view;
}

// Ends the process when `holds` is false, which the fuzzer reports.
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void CheckJudge(const std::string& payload) {
  ConfigView refused = BaseView();
  refused.offset = 2;
  const JudgedRecord judged =
      JudgeRecord(BaseView(), {2, 0, AppendId("id"), payload});
  Require(judged.view.offset == 2);
  Require(judged.verdict.accepted == judged.verdict.violations.empty());
  Require(judged.verdict.accepted || judged.view == refused);
  const Result<ConfigView> restored =
      DecodeSnapshot(EncodeSnapshot(judged.view));
  Require(restored.has_value() && restored.value() == judged.view);
}

}  // namespace
}  // namespace kumquatcart

extern "C" int LLVMFuzzerTestOneInput(  // NOLINT(readability-identifier-naming)
    const std::uint8_t* data,
    std::size_t size) {
  const std::string payload(reinterpret_cast<const char*>(data), size);
  kumquatcart::CheckJudge(payload);
  static_cast<void>(kumquatcart::DecodeSnapshotText(payload));
  static_cast<void>(kumquatcart::DecodeAuditBatch(payload));
  return 0;
}
