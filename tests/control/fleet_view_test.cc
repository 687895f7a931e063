#include "control/fleet_view.h"

#include <catch2/catch.hpp>

#include "control/group_record_codec.h"

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

BackendServer Server(const std::string& id) {
  BackendServer server;
  server.id = id;
  server.service = "s";
  return server;
}

GroupRecord Record(std::int64_t epoch, std::vector<std::string> members) {
  GroupRecord record;
  record.group = "g";
  record.epoch = epoch;
  record.model = "m";
  record.members = std::move(members);
  return record;
}

FleetView MakeOpenGroup() {
  FleetView view;
  view.PutServer(Server("a"), kStart);
  view.PutServer(Server("b"), kStart);
  view.PutRecord(Record(5, {"a", "b"}));
  view.SetOpen("g", 5, true);
  return view;
}

std::shared_ptr<const RoutingConfig> Config(std::int64_t version) {
  RoutingConfig config;
  config.version = version;
  return std::make_shared<const RoutingConfig>(config);
}

TEST_CASE("The configuration version never decreases") {
  FleetView view;
  CHECK(view.AdoptConfig(Config(7)));
  CHECK(!view.AdoptConfig(Config(7)));
  CHECK(!view.AdoptConfig(Config(3)));
  CHECK(view.Config()->version == 7);
  CHECK(view.AdoptConfig(Config(20)));
}

TEST_CASE("A group serves while it is open and every member is available") {
  FleetView view = MakeOpenGroup();
  CHECK(view.Serves(*view.FindGroup("g")));
  view.SetReachable("b", false, kStart);
  CHECK(!view.Serves(*view.FindGroup("g")));
  CHECK(!view.CanFinishRequests("g", 5));
  view.SetReachable("b", true, kStart);
  CHECK(view.Serves(*view.FindGroup("g")));
}

TEST_CASE("A group keeps serving if a member loses its entry but answers") {
  FleetView view = MakeOpenGroup();
  view.RemoveServer("b", kStart);
  view.ExpireServers(kStart);
  CHECK(view.Serves(*view.FindGroup("g")));
  CHECK(view.AvailabilityOf("b") == ServerAvailability::kLeaving);
  CHECK(view.CanFinishRequests("g", 5));
  view.SetReachable("b", false, kStart);
  CHECK(!view.Serves(*view.FindGroup("g")));
  CHECK(view.FindServer("b") == nullptr);
  CHECK(!view.CanFinishRequests("g", 5));
}

TEST_CASE("A head that lost its entry takes no requests") {
  FleetView view = MakeOpenGroup();
  view.RemoveServer("a", kStart);
  view.ExpireServers(kStart);
  CHECK(!view.Serves(*view.FindGroup("g")));
}

TEST_CASE("A group whose head is leaving takes no requests") {
  FleetView view = MakeOpenGroup();
  BackendServer head = Server("a");
  head.draining = true;
  view.PutServer(head, kStart);
  CHECK(!view.Serves(*view.FindGroup("g")));
  CHECK(view.CanFinishRequests("g", 5));
}

TEST_CASE("A new record closes the group until it is opened again") {
  FleetView view = MakeOpenGroup();
  CHECK(view.PutRecord(Record(9, {"b", "c"})));
  CHECK(!view.FindGroup("g")->open);
  view.SetOpen("g", 5, true);  // Report for the previous epoch.
  CHECK(!view.FindGroup("g")->open);
  CHECK(!view.PutRecord(Record(6, {"a"})));
  CHECK(view.FindGroup("g")->previous->epoch == 5);
}

TEST_CASE("Requests of the previous epoch may finish while members answer") {
  FleetView view = MakeOpenGroup();
  view.PutRecord(Record(9, {"b", "c"}));
  CHECK(view.CanFinishRequests("g", 5));
  view.SetReachable("a", false, kStart);
  CHECK(!view.CanFinishRequests("g", 5));
}

TEST_CASE(
    "A new record is open if its head already reports the group as open") {
  FleetView view;
  BackendServer head = Server("a");
  head.membership = GroupMembership{"g", 5, 0, MembershipState::kOpen};
  view.PutServer(head, kStart);
  view.PutRecord(Record(5, {"a"}));
  CHECK(view.FindGroup("g")->open);
  head.membership = GroupMembership{"g", 5, 0, MembershipState::kBroken};
  view.PutServer(head, kStart);
  CHECK(!view.FindGroup("g")->open);
}

TEST_CASE("A server whose entry returns before its removal is kept") {
  FleetView view = MakeOpenGroup();
  view.RemoveServer("a", kStart + std::chrono::seconds(2));
  view.ExpireServers(kStart + std::chrono::seconds(1));
  view.PutServer(Server("a"), kStart + std::chrono::seconds(1));
  view.ExpireServers(kStart + std::chrono::seconds(3));
  CHECK(view.FindServer("a") != nullptr);
}

// Guards against requests to a server that has ended: a later removal, for a
// spoilt entry, was scheduled already when the store removed the entry.
TEST_CASE("The earlier of two removals of a server holds") {
  for (const bool is_earlier_first : {true, false}) {
    FleetView view = MakeOpenGroup();
    const MonotonicTime earlier = kStart + std::chrono::seconds(1);
    const MonotonicTime later = kStart + std::chrono::seconds(4);
    view.RemoveServer("a", is_earlier_first ? earlier : later);
    view.RemoveServer("a", is_earlier_first ? later : earlier);
    view.ExpireServers(earlier);
    CHECK(view.AvailabilityOf("a") == ServerAvailability::kLeaving);
  }
}

TEST_CASE("An entry of an earlier start is ignored") {
  FleetView view;
  BackendServer server = Server("a");
  server.started_ms = 20;
  view.PutServer(server, kStart);
  server.started_ms = 10;
  server.draining = true;
  view.PutServer(server, kStart);
  CHECK(!view.FindServer("a")->draining);
}

// Guards against requests to a group one of whose members has lost its state.
TEST_CASE("A member that has started again is lost to its group only") {
  FleetView view;
  BackendServer member = Server("b");
  member.started_ms = 10;
  view.PutServer(Server("a"), kStart);
  view.PutServer(member, kStart);
  GroupRecord record = Record(5, {"a", "b"});
  record.member_starts = {0, 10};
  view.PutRecord(record);
  view.SetOpen("g", 5, true);
  CHECK(view.Serves(*view.FindGroup("g")));
  view.SetReachable("b", false, kStart);
  member.started_ms = 20;
  view.PutServer(member, kStart);
  CHECK(view.IsUsable("b"));
  CHECK(view.MemberAvailability(record, 1) == ServerAvailability::kLost);
  CHECK(!view.Serves(*view.FindGroup("g")));
  CHECK(!view.CanFinishRequests("g", 5));
}

// Guards against a crashed server that is planned with until its entry lapses,
// although another one has started at its address.
TEST_CASE("Of two servers with one address the earlier one is unreachable") {
  BackendServer former = Server("b");
  former.started_ms = 10;
  former.endpoint = Endpoint{"10.0.0.1", 80};
  BackendServer next = former;
  next.id = "a";
  next.started_ms = 20;
  BackendServer elsewhere = former;
  elsewhere.id = "c";
  elsewhere.endpoint.port = 81;
  const bool former_is_first = GENERATE(true, false);
  FleetView view;
  view.PutServer(elsewhere, kStart);
  view.PutServer(former_is_first ? former : next, kStart);
  CHECK(view.IsUsable(former_is_first ? "b" : "a"));
  view.PutServer(former_is_first ? next : former, kStart);
  CHECK(view.IsUsable("a"));
  CHECK(view.IsUsable("c"));
  CHECK(view.AvailabilityOf("b") == ServerAvailability::kLost);
  view.PutServer(next, kStart);
  CHECK(view.IsUsable("a"));
  // A probe has shown that the clock of the later one was wrong.
  view.SetReachable("b", true, kStart);
  former.draining = true;
  view.PutServer(former, kStart);
  CHECK(view.AvailabilityOf("b") == ServerAvailability::kLeaving);
}

TEST_CASE("Two servers with one address and start stay as they are") {
  BackendServer first = Server("a");
  first.started_ms = 10;
  first.endpoint = Endpoint{"10.0.0.1", 80};
  BackendServer second = first;
  second.id = "b";
  FleetView view;
  view.PutServer(first, kStart);
  view.PutServer(second, kStart);
  CHECK(view.IsUsable("a"));
  CHECK(view.IsUsable("b"));
}

// The entry of the member's present start may arrive after the record.
TEST_CASE(
    "A member whose known start is earlier than its record is available") {
  FleetView view;
  BackendServer member = Server("a");
  member.started_ms = 10;
  view.PutServer(member, kStart);
  GroupRecord record = Record(5, {"a"});
  record.member_starts = {20};
  view.PutRecord(record);
  CHECK(view.MemberAvailability(record, 0) == ServerAvailability::kUsable);
}

BackendServer StartedServer(std::int64_t started_ms, std::int64_t orders) {
  BackendServer server = Server("a");
  server.started_ms = started_ms;
  server.orders_accepted = orders;
  return server;
}

// Guards against a server that had said that it leaves, or had left, and that
// an older copy of the store shows as ready once more.
TEST_CASE("Entries of an older copy are told from news of a server") {
  FleetView view;
  BackendServer leaving = StartedServer(10, 2);
  leaving.draining = true;
  CHECK(!view.IsOutdated(leaving, true));
  view.PutServer(leaving, kStart);
  CHECK(view.IsOutdated(StartedServer(10, 2), false));
  CHECK(view.IsOutdated(StartedServer(10, 1), false));
  CHECK(view.IsOutdated(StartedServer(9, 7), false));
  CHECK(!view.IsOutdated(leaving, false));
  CHECK(!view.IsOutdated(StartedServer(11, 0), false));
  CHECK(!view.IsOutdated(Server("b"), true));
  // Such a server does not say which start it is.
  CHECK(!view.IsOutdated(Server("a"), true));

  view.RemoveServer("a", kStart);
  view.ExpireServers(kStart);
  CHECK(view.IsOutdated(leaving, true));
  CHECK(!view.IsOutdated(leaving, false));  // Written again.
  CHECK(!view.IsOutdated(StartedServer(10, 3), true));
  CHECK(!view.IsOutdated(StartedServer(11, 0), true));
  CHECK(!view.IsNews(leaving, true));
  CHECK(view.IsNews(StartedServer(11, 0), false));
  // A copy is some seconds old.
  view.ExpireServers(kStart + std::chrono::seconds(61));
  CHECK(!view.IsOutdated(leaving, true));
}

// Guards against a server that was removed shortly before the store came back,
// while its removal was put off since the store had been away.
TEST_CASE("A removal that is put off outlives the entry of a copy") {
  FleetView view;
  view.PutServer(StartedServer(10, 2), kStart);
  view.NoteRemoval("a", kStart);
  view.RemoveServer("a", kStart + std::chrono::seconds(2));
  CHECK(view.IsOutdated(StartedServer(10, 2), true));
  CHECK(!view.IsOutdated(StartedServer(10, 2), false));
}

// Guards against a server that is removed although it writes its entry again:
// the store came back a second time, and the time of the first return went on.
TEST_CASE("An entry that is lost again gets the whole time to return") {
  FleetView view;
  view.PutServer(StartedServer(10, 2), kStart);
  view.RemoveLostServer("a", kStart + std::chrono::seconds(2));
  view.RemoveLostServer("a", kStart + std::chrono::seconds(3));
  view.ExpireServers(kStart + std::chrono::seconds(2));
  CHECK(view.FindServer("a") != nullptr);
  view.NoteRemoval("a", kStart);
  view.RemoveServer("a", kStart + std::chrono::milliseconds(2500));
  view.RemoveLostServer("a", kStart + std::chrono::seconds(4));
  view.ExpireServers(kStart + std::chrono::milliseconds(2500));
  CHECK(view.FindServer("a") == nullptr);
}

TEST_CASE("A removal that a peer knows outlives the entry of a copy") {
  FleetView view;
  view.NoteRemoved(StartedServer(10, 2), kStart);
  CHECK(view.IsOutdated(StartedServer(10, 2), true));
  CHECK(!view.IsOutdated(StartedServer(11, 0), true));
}

TEST_CASE("A group record states its epoch") {
  GroupRecord record = Record((std::int64_t{3} << 40) + 17, {"a"});
  CHECK(DecodeGroupRecord("g", 41, EncodeGroupRecord(record)).value() ==
        record);
}

// Records of versions of this program that did not state it.
TEST_CASE("A decoded group record has an epoch that follows from its offset") {
  GroupRecord record = Record(0, {"a", "b"});
  record.member_starts = {1'782'000'000'001, 0};
  const Result<GroupRecord> decoded =
      DecodeGroupRecord("g", 41, EncodeGroupRecord(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().epoch == 42);
  CHECK(decoded.value().members == record.members);
  CHECK(decoded.value().member_starts == record.member_starts);
  CHECK(DecodeGroupRecord("g", 41, "{}").has_error());
}

}  // namespace
}  // namespace kumquatcart
