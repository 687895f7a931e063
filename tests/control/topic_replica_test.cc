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
    this->records.push_back(
        {key,
         removes ? std::nullopt
                 : std::optional("v" + std::to_string(this->End())),
         this->End()});
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
              process->replica.End()));
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
        rest =
            processes[i]->replica.RecordsSince(processes[i + 1]->replica.End());
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
  CHECK(replica.RecordsSince(2) ==
        TopicBatch{{{"c", "1", 3}}, 5, std::vector<std::string>{"a"}});
  CHECK(replica.RecordsSince(5) == TopicBatch{{}, 5, std::nullopt});
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
  CHECK(late.RecordsSince(1).other_keys == std::vector<std::string>{"a"});
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
