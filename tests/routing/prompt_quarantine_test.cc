// Verdicts on parts of prompts, and their agreement between VMs.
#include "routing/prompt_quarantine.h"

#include <algorithm>
#include <string>
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
                      bool was_trial) {
  PromptCrash crash;
  crash.id = id;
  crash.server = "s" + std::to_string(id);
  crash.started_ms = 1000;
  crash.was_trial = was_trial;
  crash.parts = parts;
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
  CHECK(quarantine.NoteSound({"a"}, kStart + milliseconds(1)));
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
}

TEST_CASE("A part with sound runs is suspected only after several crashes") {
  PromptQuarantine quarantine;
  quarantine.NoteSound({"a"}, kStart - seconds(1));
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
  quarantine.NoteSound({"a"}, kStart - seconds(1));
  for (std::uint64_t id = 1; id <= 9; ++id) {
    PromptCrash crash = MakeCrash(id, {"a"}, false);
    crash.server = "s";
    quarantine.AddCrash(crash, kStart);
  }
  CHECK(Admission(quarantine, {"a"}) == PromptAdmission::kFree);
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
  quarantine.NoteSound({"a"}, kStart);
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
  quarantine.NoteSound({"a", "c"}, kStart + milliseconds(1));
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
    quarantine.NoteSound({part}, kStart + milliseconds(1));
  }
  CHECK(quarantine.StateOf("a") == PartState::kQuarantined);
  CHECK(quarantine.PartsWithCrashes().size() <= 128);
}

// Guards against times that grow with each exchange, so that an old sound run
// comes to lie after the crashes.
TEST_CASE("Times do not move when VMs send them to and fro") {
  PromptQuarantine first;
  PromptQuarantine second;
  first.NoteSound({"a"}, kStart - seconds(1));
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
        vms[vm].NoteSound(parts, at);
        all.NoteSound(parts, at);
      } else {
        const PromptCrash crash =
            MakeCrash(id, parts, *rc::gen::arbitrary<bool>());
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
