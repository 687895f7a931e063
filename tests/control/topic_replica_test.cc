#include "control/topic_replica.h"

#include <algorithm>
#include <memory>
#include <optional>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

// The platform's store with one topic.
class Log {
 public:
  std::int64_t End() const {
    return static_cast<std::int64_t>(this->records.size());
  }
  void Append(const std::string& key, bool removes) {
    this->Append(key, removes, "v" + std::to_string(this->End()));
  }
  void Append(const std::string& key, bool removes, const std::string& value) {
    this->records.push_back(
        {key, removes ? std::nullopt : std::optional(value), this->End()});
  }
  // Deletes the oldest records, as the platform may at any time.
  void DeleteBefore(std::int64_t offset) { this->first = offset; }

  // None if records are missing.
  std::optional<TopicBatch> ReadSince(std::int64_t from) const {
    if (from < this->first) {
      return std::nullopt;
    }
    TopicBatch batch;
    batch.records = {this->records.begin() + from, this->records.end()};
    batch.end = this->End();
    return batch;
  }

  // Items whose value or offset cannot be read are listed by key only.
  TopicBatch ReadNewest(const std::string& unreadable_key) const {
    TopicBatch batch;
    batch.end = this->End();
    batch.other_keys.emplace();
    for (const auto& [key, value] : this->Values()) {
      if (key == unreadable_key) {
        batch.other_keys->push_back(key);
      } else {
        batch.records.push_back({key, value.first, value.second});
      }
    }
    return batch;
  }

  using ValueMap = std::map<std::string, std::pair<std::string, std::int64_t>>;
  ValueMap Values() const {
    ValueMap values;
    for (const TopicRecord& record : this->records) {
      values.erase(record.key);
      if (record.value) {
        values[record.key] = {*record.value, record.offset};
      }
    }
    return values;
  }

 private:
  std::vector<TopicRecord> records;
  std::int64_t first = 0;
};

// A process that follows the log; each start begins with nothing.
struct Process {
  Process()
      : replica([this](const TopicRecord& record) {
          if (record.value) {
            this->values[record.key] = *record.value;
          } else {
            this->values.erase(record.key);
          }
        }) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  std::map<std::string, std::string> values;
  TopicReplica replica;
  std::vector<TopicBatch> responses;  // Not arrived yet.
};

std::map<std::string, std::string> ValuesOf(const Log& log) {
  std::map<std::string, std::string> values;
  for (const auto& [key, value] : log.Values()) {
    values[key] = value.first;
  }
  return values;
}

// Keys of the random records.
constexpr int kKeys = 4;

// `has_unreadable`: whether the store may list keys without their records.
void TakeRandomStep(bool has_unreadable,
                    Log* log,
                    std::vector<std::unique_ptr<Process>>* processes) {
  const auto draw = [](int end) { return *rc::gen::inRange(0, end); };
  const std::string key = "k" + std::to_string(draw(kKeys));
  std::unique_ptr<Process>& process = (*processes)[draw(processes->size())];
  switch (draw(7)) {
    case 0:
      log->Append(key, /*removes=*/draw(2) == 0);
      break;
    case 1: {
      const std::optional<TopicBatch> batch =
          log->ReadSince(process->replica.End());
      if (batch) {
        process->responses.push_back(*batch);
      }
      break;
    }
    case 2:
      process->responses.push_back(
          log->ReadNewest(has_unreadable ? key : std::string()));
      break;
    case 3:
      process->responses.push_back(
          (*processes)[draw(processes->size())]->replica.RecordsSince(
              process->replica.Position()));
      break;
    case 4:
      // Responses arrive in any order, and some never.
      if (!process->responses.empty()) {
        const auto response =
            process->responses.begin() + draw(process->responses.size());
        process->replica.Merge(*response);
        process->responses.erase(response);
      }
      break;
    case 5:
      if (draw(4) == 0) {
        process = std::make_unique<Process>();
      }
      break;
    default:
      if (draw(4) == 0) {
        log->DeleteBefore(log->End());
      }
      break;
  }
}

// Guards against a removal that a process never receives, because the peer that
// it asked began with a list of the keys that were left, and against a removed
// key that an older response brings back.
TEST_CASE("Replicas end in the state of the log in any order of responses") {
  CHECK(rc::check("replicas end in the state of the log", [] {
    Log log;
    std::vector<std::unique_ptr<Process>> processes;
    const int count = *rc::gen::inRange(2, 4);
    for (int i = 0; i < count; ++i) {
      processes.push_back(std::make_unique<Process>());
    }
    const bool has_unreadable = *rc::gen::arbitrary<bool>();
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      TakeRandomStep(has_unreadable, &log, &processes);
    }
    // One reads the rest, the others have it from their predecessor.
    TopicBatch rest = log.ReadSince(processes[0]->replica.End())
                          .value_or(log.ReadNewest(/*unreadable_key=*/""));
    for (std::size_t i = 0; i < processes.size(); ++i) {
      processes[i]->replica.Merge(rest);
      if (i + 1 < processes.size()) {
        rest = processes[i]->replica.RecordsSince(
            processes[i + 1]->replica.Position());
      }
    }
    const std::map<std::string, std::string> expected = ValuesOf(log);
    for (const auto& process : processes) {
      RC_ASSERT(process->replica.End() == log.End());
      if (!has_unreadable) {
        RC_ASSERT(process->values == expected);
      }
      // Where a record could not be read, the one before it stays.
      for (const auto& [key, value] : process->values) {
        static_cast<void>(value);
        RC_ASSERT(expected.count(key) == 1U);
      }
    }
  }));
}

// A process that follows a log which may come back from an older copy.
struct RestoredProcess {
  RestoredProcess()
      : replica(
            [this](const TopicRecord& record) {
              if (record.value) {
                this->values[record.key] = *record.value;
              } else {
                this->values.erase(record.key);
              }
            },
            ContentRules{nullptr, nullptr, [this](const std::string& key) {
                           this->values.erase(key);
                         }}) {}
  RestoredProcess(const RestoredProcess&) = delete;
  RestoredProcess& operator=(const RestoredProcess&) = delete;

  std::map<std::string, std::string> values;
  TopicReplica replica;
};

TopicBatch InEra(TopicBatch batch, StoreEra era) {
  batch.era = era;
  return batch;
}

// Guards against records of a lost history that stay, or come back with a late
// answer of the store or of a peer.
TEST_CASE("Replicas end in the state of the newest history") {
  CHECK(rc::check("replicas end in the state of the newest history", [] {
    Log log;
    StoreEra era = 0;
    int values = 0;
    std::vector<Log> copies;
    std::vector<std::unique_ptr<RestoredProcess>> processes;
    for (int i = 0; i < 3; ++i) {
      processes.push_back(std::make_unique<RestoredProcess>());
    }
    std::vector<std::pair<std::size_t, TopicBatch>> late;
    const auto draw = [](int end) { return *rc::gen::inRange(0, end); };
    const int steps = draw(120);
    for (int i = 0; i < steps; ++i) {
      const auto index = static_cast<std::size_t>(draw(3));
      TopicReplica& replica = processes[index]->replica;
      const TopicPosition from = replica.Position();
      switch (draw(6)) {
        case 0:
          log.Append("k" + std::to_string(draw(kKeys)), draw(3) == 0,
                     "v" + std::to_string(++values));
          break;
        case 1:
          late.emplace_back(
              index,
              InEra(from.era == era ? log.ReadSince(from.offset).value()
                                    : log.ReadNewest(/*unreadable_key=*/""),
                    era));
          break;
        case 2:
          late.emplace_back(index, processes[static_cast<std::size_t>(draw(3))]
                                       ->replica.RecordsSince(from));
          break;
        case 3:
          copies.push_back(log);
          break;
        case 4:
          if (!copies.empty() && draw(3) == 0) {
            log = copies[static_cast<std::size_t>(
                draw(static_cast<int>(copies.size())))];
            ++era;
          }
          break;
        default:
          if (!late.empty()) {
            const auto answer =
                late.begin() + draw(static_cast<int>(late.size()));
            processes[answer->first]->replica.Merge(answer->second);
            late.erase(answer);
          }
          break;
      }
    }
    for (const auto& process : processes) {
      process->replica.Merge(InEra(log.ReadNewest(/*unreadable_key=*/""), era));
      RC_ASSERT(process->values == ValuesOf(log));
      RC_ASSERT(process->replica.Position() == (TopicPosition{era, log.End()}));
    }
  }));
}

TEST_CASE("What a lost history held is retained until it is written again") {
  std::map<std::string, std::string> values;
  std::vector<std::string> lost;
  TopicReplica replica(
      [&](const TopicRecord& record) {
        values[record.key] = record.value.value_or("(removed)");
      },
      ContentRules{[&](const TopicRecord& record, bool) {
                     return values.count(record.key) > 0 &&
                            *record.value < values[record.key];
                   },
                   nullptr,
                   [&](const std::string& key) { lost.push_back(key); }});
  replica.Merge(
      {{{"a", "5", 0}, {"b", "5", 1}, {"c", "5", 2}}, 3, std::nullopt});
  replica.Merge({{{"a", "4", 0}}, 1, std::vector<std::string>{}, 1});
  CHECK(values ==
        std::map<std::string, std::string>{{"a", "5"}, {"b", "5"}, {"c", "5"}});
  CHECK(lost == std::vector<std::string>{"b", "c"});
  CHECK(replica.RecordsSince(kRetainedOnly).retained ==
        std::vector<RetainedRecord>{
            {"a", "5", false}, {"b", "5", false}, {"c", "5", false}});
  CHECK(replica.RecordsSince(kRetainedOnly).records.empty());
  // In any order.
  replica.Merge({{{"c", "6", 1}, {"a", "3", 2}}, 3, std::nullopt, 1});
  CHECK(values["c"] == "6");
  CHECK(values["a"] == "5");
  CHECK(replica.Retained().size() == 2);
  replica.Merge({{{"a", "5", 3}, {"b", "5", 4}}, 5, std::nullopt, 1});
  CHECK(replica.Retained().empty());
  // What the next copy lacks is lost again, with a time of its own.
  lost.clear();
  replica.Merge({{{"a", "5", 0}}, 1, std::vector<std::string>{}, 2});
  CHECK(lost == std::vector<std::string>{"b", "c"});
  lost.clear();
  replica.Merge({{{"a", "5", 0}}, 1, std::vector<std::string>{}, 3});
  CHECK(lost == std::vector<std::string>{"b", "c"});
  replica.Merge({{{"b", "5", 1}, {"c", "6", 2}}, 5, std::nullopt, 3});
  // Old answers and ends of the lost history.
  replica.Merge({{{"a", "9", 9}}, 10, std::vector<std::string>{}, 0});
  CHECK(values["a"] == "5");
  CHECK(replica.Position() == TopicPosition{3, 5});
}

// Guards against a server that stays out since its entry, which was removed in
// the lost history, is in the copy, and the server is there.
TEST_CASE("A retained removal ends with the store's record") {
  std::map<std::string, std::string> values;
  TopicReplica replica(
      [&](const TopicRecord& record) {
        values[record.key] = record.value.value_or("(removed)");
      },
      ContentRules{[&](const TopicRecord& record, bool is_from_copy) {
                     return is_from_copy && values[record.key] == "(removed)";
                   },
                   nullptr, nullptr});
  replica.Merge({{{"a", "1", 0}}, 1, std::nullopt});
  replica.Merge({{{"a", std::nullopt, 1}}, 2, std::nullopt});
  replica.Merge({{{"a", "1", 0}}, 1, std::vector<std::string>{}, 1});
  CHECK(values["a"] == "(removed)");
  CHECK(replica.Retained().at("a") == RetainedRecord{"a", "1", true});
  replica.DropRetainedRemoval("a");
  CHECK(values["a"] == "1");
  CHECK(replica.Retained().empty());
}

// Returns a replica that has read `batch`, which lists all keys.
TopicReplica StartFrom(const TopicBatch& batch) {
  TopicReplica replica([](const TopicRecord&) {});
  replica.Merge(batch);
  return replica;
}

TEST_CASE("A replica that began with a list names the keys that were left") {
  const TopicReplica replica = StartFrom(
      {{{"a", "1", 0}, {"c", "1", 3}}, 5, std::vector<std::string>{}});
  CHECK(replica.HistoryStart() == 5);
  CHECK(replica.RecordsSince({0, 2}) ==
        TopicBatch{{{"c", "1", 3}}, 5, std::vector<std::string>{"a"}});
  CHECK(replica.RecordsSince({0, 5}) == TopicBatch{{}, 5, std::nullopt});
}

TEST_CASE("A key whose record cannot be read is not taken for a removed one") {
  std::map<std::string, std::string> values;
  TopicReplica replica([&](const TopicRecord& record) {
    values[record.key] = record.value.value_or("(removed)");
  });
  replica.Merge({{{"a", "1", 0}, {"b", "1", 1}}, 2, std::nullopt});
  replica.Merge({{}, 4, std::vector<std::string>{"a"}});
  CHECK(values ==
        std::map<std::string, std::string>{{"a", "1"}, {"b", "(removed)"}});
  // Nor do peers that ask this replica.
  TopicReplica late = StartFrom({{}, 4, std::vector<std::string>{"a"}});
  CHECK(late.RecordsSince({0, 1}).other_keys == std::vector<std::string>{"a"});
}

TEST_CASE("An old response does not bring back a removed key") {
  std::vector<TopicRecord> applied;
  TopicReplica replica(
      [&](const TopicRecord& record) { applied.push_back(record); });
  replica.Merge({{{"b", "1", 1}}, 6, std::vector<std::string>{}});
  replica.Merge({{{"a", "1", 0}, {"b", "1", 1}}, 3, std::nullopt});
  CHECK(applied == std::vector<TopicRecord>{{"b", "1", 1}});
  CHECK(replica.End() == 6);
}

}  // namespace
}  // namespace kumquatcart
