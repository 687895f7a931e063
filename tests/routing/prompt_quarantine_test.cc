// Verdicts on parts of prompts, and their agreement between VMs.
#include "routing/prompt_quarantine.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100'000)};

PromptCrash MakeCrash(std::uint64_t id,
                      const PromptParts& parts,
                      bool was_trial,
                      int events = 0) {
  PromptCrash crash;
  crash.id = id;
  crash.server = "s" + std::to_string(id);
  crash.started_ms = 1000;
  crash.was_trial = was_trial;
  crash.parts = parts;
  crash.events = events;
  return crash;
}

// A quarantine that has quarantined `part` at kStart.
PromptQuarantine Quarantine(const PromptParts& parts) {
  PromptQuarantine quarantine;
  quarantine.AddCrash(MakeCrash(1, parts, false), kStart);
  quarantine.AddCrash(MakeCrash(2, parts, true), kStart);
  quarantine.AddCrash(MakeCrash(3, parts, true), kStart);
  return quarantine;
}

PromptAdmission Admission(const PromptQuarantine& quarantine,
                          const PromptParts& parts,
                          MonotonicTime now = kStart) {
  return quarantine.Decide(parts, now).admission;
}

TEST_CASE("A part is suspected after a crash and quarantined by two trials") {
  PromptQuarantine quarantine;
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
  quarantine.AddCrash(MakeCrash(1, {"a"}, false), kStart);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kTrial);
  CHECK(Admission(quarantine, {"b"}) == PromptAdmission::kFree);
  quarantine.AddCrash(MakeCrash(2, {"a"}, true), kStart);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kTrial);
  quarantine.AddCrash(MakeCrash(3, {"a"}, true), kStart);
  const PromptDecision decision = quarantine.Decide({"a", "b"}, kStart);
  CHECK(decision.admission == PromptAdmission::kRefused);
  CHECK(decision.part == "a");
  CHECK(decision.retry_after == minutes(1));
}

// Guards against many servers that end at once, for another reason, and
// quarantine what their requests have in common.
TEST_CASE("Crashes without trials quarantine nothing") {
  PromptQuarantine quarantine;
  for (std::uint64_t id = 1; id <= 30; ++id) {
    quarantine.AddCrash(MakeCrash(id, {"a"}, false), kStart);
  }
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kTrial);
  CHECK(quarantine.NoteSound({"a"}, WholeAnswer(), kStart + milliseconds(1)));
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
}

TEST_CASE("A part with sound runs is suspected only after several crashes") {
  PromptQuarantine quarantine;
  quarantine.NoteSound({"a"}, WholeAnswer(), kStart - seconds(1));
  for (std::uint64_t id = 1; id <= 4; ++id) {
    quarantine.AddCrash(MakeCrash(id, {"a"}, false), kStart);
  }
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
  quarantine.AddCrash(MakeCrash(5, {"a"}, false), kStart);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kTrial);
}

// Guards against several requests at one server that count as several crashes.
TEST_CASE("Requests that end with the same server are one crash") {
  PromptQuarantine quarantine;
  quarantine.NoteSound({"a"}, WholeAnswer(), kStart - seconds(1));
  for (std::uint64_t id = 1; id <= 9; ++id) {
    PromptCrash crash = MakeCrash(id, {"a"}, false);
    crash.server = "s";
    quarantine.AddCrash(crash, kStart);
  }
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
}

TEST_CASE("A server has ended from its first crash on") {
  PromptQuarantine quarantine;
  quarantine.AddCrash(MakeCrash(1, {"a"}, false), kStart);
  BackendServer server;
  server.id = "s1";
  server.started_ms = 1000;
  CHECK_FALSE(quarantine.HadEnded(server, kStart - milliseconds(1)));
  CHECK(quarantine.HadEnded(server, kStart));
  server.started_ms = 2000;
  CHECK_FALSE(quarantine.HadEnded(server, kStart));
  server.started_ms = 0;
  CHECK_FALSE(quarantine.HadEnded(server, kStart));
}

TEST_CASE("Extents of answers grow by twice as many events") {
  CHECK_FALSE(ExtentOf(2));
  CHECK(ExtentOf(3) == AnswerExtent{0});
  CHECK(ExtentOf(5) == AnswerExtent{0});
  CHECK(ExtentOf(6) == AnswerExtent{1});
  CHECK(ExtentOf(1'000'000'000) < WholeAnswer());
  CHECK(ExtentBeyond(0) == AnswerExtent{0});
  for (const int events : {1, 2, 3, 4, 12, 100}) {
    CHECK(ExtentBeyond(events) == ExtentOf(8 * events - 1));
    CHECK_FALSE(ExtentOf(4 * events - 1) >= ExtentBeyond(events));
  }
  CHECK(ExtentBeyond(1'000'000'000) == WholeAnswer());
}

// Guards against a run that outweighs the crashes of its parts because it got
// past the beginning of its answer, where it ends its server a little later.
TEST_CASE("Only a clearly longer run outweighs a crash") {
  PromptQuarantine quarantine;
  const MonotonicTime later = kStart + milliseconds(1);
  quarantine.AddCrash(MakeCrash(1, {"a"}, false, 4), kStart);
  CHECK(quarantine.StateOf("a") == PartState::kSuspected);
  quarantine.NoteSound({"a"}, *ExtentOf(3), later);
  quarantine.AddCrash(MakeCrash(2, {"a"}, true, 4), kStart);
  CHECK(quarantine.StateOf("a") == PartState::kSuspected);
  quarantine.NoteSound({"a"}, *ExtentOf(15), later);
  quarantine.AddCrash(MakeCrash(3, {"a"}, true, 4), kStart);
  CHECK(quarantine.StateOf("a") == PartState::kQuarantined);
  CHECK(quarantine.NoteSound({"a"}, *ExtentOf(24), later));
  CHECK(quarantine.StateOf("a") == PartState::kClear);
  CHECK_FALSE(quarantine.AreSound({"a"}));
  quarantine.NoteSound({"a"}, WholeAnswer(), later);
  CHECK(quarantine.AreSound({"a"}));
  CHECK_FALSE(quarantine.AreSound({"a", "b"}));
}

// Guards against requests that were well under way at a server which ends under
// another one, and whose parts are suspected.
TEST_CASE("A part is not suspected because one long answer was cut short") {
  PromptQuarantine quarantine;
  quarantine.NoteSound({"a"}, *ExtentOf(12), kStart - seconds(1));
  quarantine.AddCrash(MakeCrash(1, {"a"}, false, 12), kStart);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
  quarantine.AddCrash(MakeCrash(2, {"a"}, false, 12), kStart);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kTrial);
  quarantine.NoteSound({"a"}, WholeAnswer(), kStart);
  for (std::uint64_t id = 3; id < 7; ++id) {
    const MonotonicTime later = kStart + milliseconds(1);
    quarantine.AddCrash(MakeCrash(id, {"a"}, false, 12), later);
    CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
  }
}

// Guards against a part that is never refused because runs with it end their
// servers after different numbers of events, and longer ones clear it. Bounds
// of the platform: three requests later than 3 s after the fifth crash.
TEST_CASE("A part that ends servers after any number of events is refused") {
  CHECK(rc::check([] {
    PromptQuarantine quarantine;
    const auto had_whole_run = *rc::gen::arbitrary<bool>();
    if (had_whole_run) {
      quarantine.NoteSound({"a"}, WholeAnswer(), kStart - seconds(1));
    }
    std::vector<MonotonicTime> crashes;
    int late = 0;
    for (std::uint64_t id = 1; id <= 30; ++id) {
      const MonotonicTime now = kStart + seconds(id);
      const PromptAdmission admission = Admission(quarantine, {"a"}, now);
      if (admission == PromptAdmission::kRefused) {
        continue;
      }
      late += crashes.size() >= 5 && now > crashes[4] + seconds(3) ? 1 : 0;
      const auto events =
          *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 31));
      if (const auto extent = ExtentOf(events)) {
        quarantine.NoteSound({"a"}, *extent, now + milliseconds(100));
      }
      crashes.push_back(now + milliseconds(200));
      quarantine.AddCrash(
          MakeCrash(id, {"a"}, admission == PromptAdmission::kTrial, events),
          crashes.back());
    }
    RC_ASSERT(late <= 3);
  }));
}

// A run with a part.
struct NaiveRun {
  PromptPart part;
  AnswerExtent extent;
  MonotonicTime at;
};

// Judges by all that happened, in any order.
PartState JudgeNaively(
    const std::vector<std::pair<PromptCrash, MonotonicTime>>& crashes,
    const std::vector<NaiveRun>& runs,
    const PromptPart& part) {
  int servers = 0;
  int trials = 0;
  int needed = 1;
  for (const NaiveRun& run : runs) {
    if (run.part == part) {
      needed = std::max(needed, run.extent == WholeAnswer() ? 5 : 2);
    }
  }
  for (const auto& [crash, at] : crashes) {
    bool is_outweighed = false;
    for (const NaiveRun& run : runs) {
      is_outweighed =
          is_outweighed || (run.part == part && run.at >= at &&
                            run.extent >= ExtentBeyond(crash.events));
    }
    const auto& parts = crash.parts;
    if (is_outweighed ||
        std::find(parts.begin(), parts.end(), part) == parts.end()) {
      continue;
    }
    ++servers;
    trials += crash.was_trial ? 1 : 0;
  }
  if (servers < needed) {
    return PartState::kClear;
  }
  return trials >= 2 ? PartState::kQuarantined : PartState::kSuspected;
}

TEST_CASE("States of parts are those of a naive judge") {
  CHECK(rc::check([] {
    PromptQuarantine quarantine;
    std::vector<std::pair<PromptCrash, MonotonicTime>> crashes;
    std::vector<NaiveRun> runs;
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (std::uint64_t id = 1; id <= steps; ++id) {
      const MonotonicTime at = kStart + seconds(*rc::gen::inRange(1, 60));
      const auto events = *rc::gen::inRange(0, 50);
      const PromptPart part(1, *rc::gen::element('a', 'b'));
      if (*rc::gen::inRange(0, 3) == 0) {
        const AnswerExtent extent = ExtentOf(events).value_or(WholeAnswer());
        quarantine.NoteSound({part}, extent, at);
        runs.push_back({part, extent, at});
      } else {
        const PromptCrash crash =
            MakeCrash(id, {part, "c"}, *rc::gen::arbitrary<bool>(), events);
        quarantine.AddCrash(crash, at);
        crashes.emplace_back(crash, at);
      }
    }
    for (const char* part : {"a", "b", "c"}) {
      RC_ASSERT(quarantine.StateOf(part) == JudgeNaively(crashes, runs, part));
    }
  }));
}

// Guards against many requests that end with a server, whose crashes displace
// those of the one that ended it.
TEST_CASE("Crashes of parts that are clear are dropped first") {
  PromptQuarantine quarantine;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    quarantine.AddCrash(MakeCrash(id, {"a"}, id > 1, 4), kStart);
    for (int i = 0; i < 100; ++i) {
      const PromptPart beside = std::to_string(id) + "." + std::to_string(i);
      const std::uint64_t crash_id = 1000 * id + static_cast<std::uint64_t>(i);
      quarantine.NoteSound({beside}, *ExtentOf(20), kStart);
      PromptCrash crash = MakeCrash(crash_id, {beside}, false, 20);
      crash.server = "s" + std::to_string(id);
      quarantine.AddCrash(crash, kStart);
    }
  }
  CHECK(quarantine.StateOf("a") == PartState::kQuarantined);
}

TEST_CASE("While a part is tried other requests with it wait") {
  PromptQuarantine quarantine;
  quarantine.AddCrash(MakeCrash(1, {"a"}, false), kStart);
  const std::int64_t trial = quarantine.BeginTrial({"a"}, kStart + seconds(3));
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kWait);
  CHECK(Admission(quarantine, {"a"}, kStart + seconds(3)) ==
        PromptAdmission::kTrial);
  quarantine.EndTrial(trial);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kTrial);
}

// Guards against parts that are known to be sound and wait for the examination
// of a request that shares them.
TEST_CASE("Parts with sound runs do not wait for a trial") {
  PromptQuarantine quarantine;
  quarantine.NoteSound({"a"}, WholeAnswer(), kStart);
  CHECK(quarantine.BeginTrial({"a"}, kStart + seconds(3)) == 0);
  CHECK(quarantine.BeginTrial({"a", "b"}, kStart + seconds(3)) != 0);
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
  CHECK(Admission(quarantine, {"b"}) == PromptAdmission::kWait);
}

// Guards against a part that had no sound run yet and is quarantined because it
// came with the one that crashes servers.
TEST_CASE("A quarantined companion is tried in a request of its own") {
  PromptQuarantine quarantine = Quarantine({"a", "b"});
  CHECK(Admission(quarantine, {"a", "b"}) == PromptAdmission::kRefused);
  CHECK(Admission(quarantine, {"a", "b", "c"}) == PromptAdmission::kRefused);
  CHECK(Admission(quarantine, {"a", "c"}) == PromptAdmission::kTrial);
  quarantine.NoteSound({"a", "c"}, WholeAnswer(), kStart + milliseconds(1));
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
  CHECK(Admission(quarantine, {"b"}) == PromptAdmission::kRefused);
}

TEST_CASE("A quarantined part is tried again after growing intervals") {
  PromptQuarantine quarantine = Quarantine({"a"});
  MonotonicTime at = kStart;
  Duration interval = minutes(1);
  for (std::uint64_t id = 4; id < 9; ++id) {
    CHECK(Admission(quarantine, {"a"}, at + interval - milliseconds(1)) ==
          PromptAdmission::kRefused);
    at += interval;
    CHECK(Admission(quarantine, {"a"}, at) == PromptAdmission::kTrial);
    quarantine.AddCrash(MakeCrash(id, {"a"}, true), at);
    interval *= 2;
  }
}

TEST_CASE("A state holds while requests come and ends when none has") {
  PromptQuarantine quarantine = Quarantine({"a"});
  const MonotonicTime refused_at = kStart + minutes(9);
  quarantine.NoteRefusal("a", refused_at);
  quarantine.DropStale(refused_at + minutes(10) - milliseconds(1));
  CHECK(quarantine.StateOf("a") == PartState::kQuarantined);
  quarantine.DropStale(refused_at + minutes(10));
  CHECK(quarantine.StateOf("a") == PartState::kClear);
  CHECK(quarantine.IsEmpty());
}

// Guards against callers that make a VM forget a state by many new parts.
TEST_CASE("A flood of unknown parts does not displace a state") {
  PromptQuarantine quarantine = Quarantine({"a"});
  for (std::uint64_t id = 10; id < 5000; ++id) {
    const std::string part = "f" + std::to_string(id);
    quarantine.AddCrash(MakeCrash(id, {part}, false), kStart);
    quarantine.NoteSound({part}, WholeAnswer(), kStart + milliseconds(1));
  }
  CHECK(quarantine.StateOf("a") == PartState::kQuarantined);
  CHECK(quarantine.PartsWithCrashes().size() <= 128);
}

// Guards against times that grow with each exchange, so that an old sound run
// comes to lie after the crashes.
TEST_CASE("Times do not move when VMs send them to and fro") {
  PromptQuarantine first;
  PromptQuarantine second;
  first.NoteSound({"a"}, WholeAnswer(), kStart - seconds(1));
  for (std::uint64_t id = 1; id <= 5; ++id) {
    first.AddCrash(MakeCrash(id, {"a"}, false), kStart);
  }
  MonotonicTime now = kStart;
  for (int i = 0; i < 1000; ++i) {
    const PromptEvidence sent = first.Export("n1", now);
    now += milliseconds(20);
    second.Merge(sent, now);
    const PromptEvidence reply = second.Export("n2", now);
    now += milliseconds(20);
    first.Merge(reply, now);
  }
  CHECK(first.StateOf("a") == PartState::kSuspected);
  CHECK(second.StateOf("a") == PartState::kSuspected);
}

// Lets all of them send to all others several times, in the order of `steps`.
void Exchange(std::vector<PromptQuarantine>* vms,
              const std::vector<std::size_t>& order) {
  for (int round = 0; round < 8; ++round) {
    for (const std::size_t from : order) {
      const PromptEvidence evidence =
          (*vms)[from].Export(std::to_string(from), kStart);
      for (const std::size_t to : order) {
        if (to != from) {
          (*vms)[to].Merge(evidence, kStart);
          (*vms)[to].Merge(evidence, kStart);
        }
      }
    }
  }
}

TEST_CASE("VMs with the same evidence decide alike in whatever order it came") {
  CHECK(rc::check([] {
    constexpr std::size_t kVms = 4;
    std::vector<PromptQuarantine> vms(kVms);
    PromptQuarantine all;
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 24);
    for (std::uint64_t id = 1; id <= steps; ++id) {
      const auto vm = *rc::gen::inRange<std::size_t>(0, kVms);
      const auto chosen = *rc::gen::inRange(1, 16);
      PromptParts parts;
      for (int i = 0; i < 4; ++i) {
        if ((chosen >> i & 1) != 0) {
          parts.emplace_back(1, static_cast<char>('a' + i));
        }
      }
      const MonotonicTime at = kStart - seconds(*rc::gen::inRange(1, 60));
      if (*rc::gen::inRange(0, 4) == 0) {
        const AnswerExtent extent =
            ExtentOf(*rc::gen::inRange(0, 40)).value_or(WholeAnswer());
        vms[vm].NoteSound(parts, extent, at);
        all.NoteSound(parts, extent, at);
      } else {
        const PromptCrash crash = MakeCrash(
            id, parts, *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 40));
        vms[vm].AddCrash(crash, at);
        all.AddCrash(crash, at);
      }
    }
    std::vector<std::size_t> order{0, 1, 2, 3};
    std::rotate(order.begin(),
                order.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, 4),
                order.end());
    Exchange(&vms, order);
    for (const PromptParts& asked :
         {PromptParts{"a"}, PromptParts{"b"}, PromptParts{"a", "c"},
          PromptParts{"a", "b", "c", "d"}}) {
      const bool has_crashes = std::any_of(
          asked.begin(), asked.end(), [&all](const PromptPart& part) {
            return all.PartsWithCrashes().count(part) > 0;
          });
      for (const PromptQuarantine& vm : vms) {
        if (has_crashes) {
          RC_ASSERT(vm.Decide(asked, kStart) == all.Decide(asked, kStart));
        }
      }
    }
  }));
}

}  // namespace
}  // namespace kumquatcart
