#include "peers/report_topic.h"

#include <memory>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using Topics = std::vector<std::unique_ptr<ReportTopic>>;

Topics MakeTopics(int count) {
  Topics topics;
  for (int index = 0; index < count; ++index) {
    topics.push_back(std::make_unique<ReportTopic>(
        "t", TopicScope::kEverywhere, NodeId("n" + std::to_string(index))));
  }
  return topics;
}

// Merges into `to` the changes of `from` that it lacks.
void Pull(const ReportTopic& from, ReportTopic* to, std::size_t max_bytes) {
  const Json delta = from.DeltaFor(to->Digest(), max_bytes).value();
  if (!delta.is_null()) {
    REQUIRE(to->Merge(delta).has_value());
  }
}

TEST_CASE("Reports converge to the latest report of each node") {
  rc::prop("random reports, exchanges and repeated deltas", [] {
    Topics topics = MakeTopics(4);
    std::vector<ReportEntries> expected(4);
    std::vector<std::pair<std::size_t, Json>> old_deltas;
    const auto draw = [] { return *rc::gen::inRange<std::size_t>(0, 4); };
    for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
      const std::size_t one = draw();
      const std::size_t other = draw();
      const int action = *rc::gen::inRange(0, 4);
      if (action == 0) {
        const std::string key = "k" + std::to_string(draw());
        expected[one][key] = draw();
        topics[one]->SetOwnReport(expected[one]);
      } else if (action == 1) {
        expected[one].erase("k" + std::to_string(draw()));
        topics[one]->SetOwnReport(expected[one]);
      } else if (action == 2) {
        old_deltas.emplace_back(
            other,
            topics[one]->DeltaFor(topics[other]->Digest(), 1000).value());
        Pull(*topics[one], topics[other].get(), 1000);
      } else if (!old_deltas.empty()) {
        const auto& [to, delta] = old_deltas[one % old_deltas.size()];
        if (!delta.is_null()) {
          RC_ASSERT(topics[to]->Merge(delta).has_value());
        }
      }
    }
    for (int round = 0; round < 8; ++round) {
      for (std::size_t one = 0; one < 4; ++one) {
        // The smallest size limit yields one report per delta.
        Pull(*topics[one], topics[(one + 1) % 4].get(), 1);
        Pull(*topics[one], topics[(one + 1) % 4].get(), 1);
      }
    }
    for (std::size_t one = 0; one < 4; ++one) {
      const auto reports = topics[one]->Reports();
      for (std::size_t reporter = 0; reporter < 4; ++reporter) {
        const auto found = reports.find(NodeId("n" + std::to_string(reporter)));
        const ReportEntries seen =
            found == reports.end() ? ReportEntries() : found->second;
        const bool same = seen == expected[reporter];
        RC_ASSERT(same);
      }
    }
  });
}

TEST_CASE("A delta holds only changed entries") {
  Topics topics = MakeTopics(2);
  ReportEntries entries;
  for (int key = 0; key < 100; ++key) {
    entries["group" + std::to_string(key)] = "a rather long description";
  }
  topics[0]->SetOwnReport(entries);
  Pull(*topics[0], topics[1].get(), 100000);
  REQUIRE(!topics[0]->SetOwnReport(entries));
  REQUIRE(topics[0]->DeltaFor(topics[1]->Digest(), 1000).value().is_null());
  entries["group7"] = "changed";
  REQUIRE(topics[0]->SetOwnReport(entries));
  const Json delta = topics[0]->DeltaFor(topics[1]->Digest(), 1000).value();
  REQUIRE(Json::to_cbor(delta).size() < 60);
}

TEST_CASE(
    "Peers cannot change a node's own report, malformed deltas are refused") {
  ReportTopic topic("t", TopicScope::kEverywhere, NodeId("n0"));
  topic.SetOwnReport({{"k", 1}});
  const Json forged = {{"n0", 1, 9, {{"k", 9, 5}}}};
  REQUIRE(!topic.Merge(forged).value());
  REQUIRE(topic.Reports().at(NodeId("n0")).at("k") == 1);
  for (const Json& malformed :
       {Json(1), Json{{"n1"}}, Json{{"n1", "x", 1, {}}}}) {
    REQUIRE(!topic.Merge(malformed).has_value());
  }
  REQUIRE(!topic.DeltaFor(Json{{"n0", "text"}}, 1000).has_value());
}

}  // namespace
}  // namespace kumquatcart
