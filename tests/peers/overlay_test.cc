#include "peers/overlay.h"

#include <algorithm>
#include <map>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

MemberTable MakeTable(int failure_domains, int nodes_each) {
  MemberTable table;
  for (int domain = 0; domain < failure_domains; ++domain) {
    for (int node = 0; node < nodes_each; ++node) {
      Member member;
      member.identity.id =
          NodeId("n" + std::to_string(domain) + "-" + std::to_string(node));
      member.identity.failure_domain =
          FailureDomainId("fd" + std::to_string(domain));
      table.members[member.identity.id] = member;
    }
  }
  return table;
}

TEST_CASE("Every member has its number of observers, also after deaths") {
  rc::prop("some members are dead", [] {
    MemberTable table =
        MakeTable(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
    for (auto& [id, member] : table.members) {
      const bool dead = *rc::gen::inRange(0, 4) == 0;
      member.state = dead ? MemberState::kDead : MemberState::kAlive;
    }
    std::map<NodeId, std::size_t> observers;
    std::size_t live_members = 0;
    for (const auto& [id, member] : table.members) {
      if (member.state == MemberState::kDead) {
        continue;
      }
      ++live_members;
      for (const NodeId& observed : ChooseObserved(table, id, OverlayShape())) {
        RC_ASSERT(table.members.at(observed).state != MemberState::kDead);
        ++observers[observed];
      }
    }
    // A single failure domain has no others to provide further observers.
    for (const auto& [id, member] : table.members) {
      if (member.state != MemberState::kDead && live_members > 1) {
        RC_ASSERT(observers[id] >= 1U);
        RC_ASSERT(observers[id] <= 5U);
      }
    }
  });
}

TEST_CASE("Five observers each at full size") {
  const MemberTable table = MakeTable(8, 46);
  std::map<NodeId, int> observers;
  for (const auto& [id, member] : table.members) {
    for (const NodeId& observed : ChooseObserved(table, id, OverlayShape())) {
      ++observers[observed];
    }
  }
  for (const auto& [id, member] : table.members) {
    REQUIRE(observers[id] == 5);
  }
}

std::size_t CountReaders(const MemberTable& table) {
  return static_cast<std::size_t>(std::count_if(
      table.members.begin(), table.members.end(), [&](const auto& entry) {
        return IsLogReader(table, entry.second.identity);
      }));
}

TEST_CASE("Two nodes of each failure domain read the log") {
  REQUIRE(CountReaders(MakeTable(8, 46)) == 16);
  REQUIRE(CountReaders(MakeTable(3, 1)) == 3);
}

TEST_CASE("Readers that die or cannot reach the platform are replaced") {
  const MemberTable before = MakeTable(1, 6);
  MemberTable table = before;
  for (auto& [id, member] : table.members) {
    member.platform_reachable = !IsLogReader(before, member.identity);
  }
  std::size_t reaching = 0;
  for (const auto& [id, member] : table.members) {
    const bool reads = IsLogReader(table, member.identity);
    reaching += reads && member.platform_reachable ? 1 : 0;
    // Readers that cannot reach the platform keep trying.
    REQUIRE((reads || member.platform_reachable));
  }
  REQUIRE(reaching == 2);
  for (auto& [id, member] : table.members) {
    const bool disconnected = !member.platform_reachable;
    member.state = disconnected ? MemberState::kDead : MemberState::kAlive;
    member.platform_reachable = true;
  }
  for (const auto& [id, member] : table.members) {
    if (member.state == MemberState::kDead) {
      continue;
    }
    reaching -= IsLogReader(table, member.identity) ? 1 : 0;
  }
  REQUIRE(reaching == 0);
}

TEST_CASE("A node without live peers reads the log itself") {
  MemberTable table = MakeTable(1, 5);
  for (const auto& [own, self] : MakeTable(1, 5).members) {
    for (auto& [id, member] : table.members) {
      member.state = id == own ? MemberState::kAlive : MemberState::kDead;
    }
    REQUIRE(IsLogReader(table, self.identity));
  }
}

}  // namespace
}  // namespace kumquatcart
