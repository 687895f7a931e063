#include "soak/rebirth_schedule.h"

#include <algorithm>

#include "base/logging.h"
#include "base/scope_guard.h"

namespace kumquatcart::soak {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(20);
constexpr int kMostAtOnce = 4;
// Servers of a kind that are left alone.
constexpr std::size_t kFewestPlain = 2;
constexpr std::size_t kFewestEngines = 4;
// A server of another service gets an address only after this time.
constexpr Duration kAddressReuse = std::chrono::seconds(2);

// Moves the members of an open group but its head to the front, and returns how
// many they are.
std::size_t MoveOtherMembersFirst(std::vector<ServerStandIn*>* servers) {
  const auto head =
      std::find_if(servers->begin(), servers->end(),
                   [](ServerStandIn* server) { return server->IsOpenHead(); });
  if (head == servers->end()) {
    return 0;
  }
  const std::vector<std::string> members = (*head)->GroupMembers();
  const auto end = std::stable_partition(
      servers->begin(), servers->end(), [&members](ServerStandIn* server) {
        return std::find(members.begin() + 1, members.end(), server->Id()) !=
               members.end();
      });
  return static_cast<std::size_t>(end - servers->begin());
}

}  // namespace

RebirthSchedule::RebirthSchedule(SoakWorld* world, std::uint64_t seed)
    : world(world),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 3571 + 17) % 2147483646 + 1)) {}

const char* RebirthSchedule::ToString(Successor successor) {
  constexpr const char* kNames[] = {"new_id", "same_id", "other_service"};
  return kNames[static_cast<int>(successor)];
}

int RebirthSchedule::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->generator);
}

Duration RebirthSchedule::DrawTime(int low_ms, int high_ms) {
  return std::chrono::milliseconds(this->Draw(low_ms, high_ms));
}

void RebirthSchedule::Run(MonotonicTime end, Coroutine yield) {
  EventLoop& loop = this->world->loop;
  while (loop.Now() < end) {
    for (const Rebirth& rebirth : this->DrawRebirths()) {
      ++this->in_progress;
      loop.Spawn([this, rebirth](Coroutine inner) {
        const ScopeGuard guard([this] { --this->in_progress; });
        this->Play(rebirth, inner);
      });
    }
    loop.Sleep(this->DrawTime(500, 2500), yield);
  }
  while (this->in_progress > 0) {
    loop.Sleep(kPoll, yield);
  }
}

std::vector<RebirthSchedule::Rebirth> RebirthSchedule::DrawRebirths() {
  const bool forms_groups = this->Draw(0, 3) > 0;
  const bool of_one_group = forms_groups && this->Draw(0, 1) == 0;
  auto wanted = static_cast<std::size_t>(this->Draw(1, kMostAtOnce));
  std::vector<ServerStandIn*> servers = this->world->Servers(forms_groups);
  std::shuffle(servers.begin(), servers.end(), this->generator);
  const std::size_t fewest = forms_groups ? kFewestEngines : kFewestPlain;
  const std::size_t spare =
      servers.size() > fewest ? servers.size() - fewest : 0;
  if (of_one_group) {
    wanted = MoveOtherMembersFirst(&servers);
  }
  servers.resize(std::min(wanted, spare));
  std::vector<Rebirth> rebirths;
  for (ServerStandIn* former : servers) {
    rebirths.push_back(this->DrawRebirth(former));
    Rebirth& rebirth = rebirths.back();
    if (of_one_group && rebirths.size() == 1) {
      // The new server is there in time to replace the other members.
      rebirth.successor = Successor::kNewId;
      rebirth.cut = StoreCut::kNone;
      rebirth.until_start = this->DrawTime(20, 200);
    } else if (of_one_group && this->Draw(0, 1) == 0) {
      rebirth.successor = Successor::kOtherService;
    }
  }
  return rebirths;
}

RebirthSchedule::Rebirth RebirthSchedule::DrawRebirth(ServerStandIn* former) {
  Rebirth rebirth;
  rebirth.former = former;
  constexpr Successor kSuccessors[] = {Successor::kNewId, Successor::kSameId,
                                       Successor::kOtherService};
  rebirth.successor = kSuccessors[this->Draw(0, 2)];
  constexpr StoreCut kCuts[] = {StoreCut::kNone, StoreCut::kEntryLapses,
                                StoreCut::kEntryStays};
  rebirth.cut = kCuts[this->Draw(0, 2)];
  rebirth.until_end = this->DrawTime(0, 800);
  rebirth.until_start = this->DrawTime(20, 600);
  rebirth.until_reconnected = this->DrawTime(500, 3500);
  return rebirth;
}

void RebirthSchedule::Play(const Rebirth& rebirth, Coroutine yield) {
  EventLoop& loop = this->world->loop;
  ServerStandIn* former = rebirth.former;
  const std::shared_ptr<ServerHost> host = former->Host();
  // One cut at a time, so that the end of one does not end another.
  const bool cuts =
      rebirth.cut != StoreCut::kNone && host->GetStoreCut() == StoreCut::kNone;
  if (cuts) {
    LogInfo("store_cut",
            {{"server", former->Id()}, {"cut", soak::ToString(rebirth.cut)}});
    former->CutFromStore(rebirth.cut);
    loop.Sleep(rebirth.until_end, yield);
  }
  former->Die();
  const bool is_reused = rebirth.successor == Successor::kOtherService;
  loop.Sleep(rebirth.until_start + (is_reused ? kAddressReuse : Duration{0}),
             yield);
  const bool forms_groups = former->FormsGroups() != is_reused;
  if (is_reused && this->world->SpareServers(!forms_groups) < 0) {
    this->world->AddServer(!forms_groups);
  }
  // More servers than at the start would always be there to replace others.
  if (!host->HasServer() &&
      !(is_reused && this->world->SpareServers(forms_groups) > 0)) {
    if (is_reused) {
      host->Replace();
    }
    const std::string id = rebirth.successor == Successor::kSameId
                               ? former->Id()
                               : this->world->NextServerId();
    LogInfo("rebirth", {{"former", former->Id()},
                        {"successor", ToString(rebirth.successor)},
                        {"server", id}});
    this->world->StartServer(host, id, forms_groups);
  }
  if (cuts) {
    loop.Sleep(rebirth.until_reconnected, yield);
    LogInfo("store_cut_ended", {{"former", former->Id()}});
    host->SetStoreCut(StoreCut::kNone);
  }
}

}  // namespace kumquatcart::soak
