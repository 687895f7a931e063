// Records of other writers among good ones: nothing ends, and everything else
// keeps being followed.
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/process_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kServersTopic[] = "keyed.servers";
constexpr char kNodesTopic[] = "keyed.entry-vms";
constexpr char kGroupsTopic[] = "keyed.groups";
// A changed entry takes effect within a poll of the topic and a little longer.
constexpr Duration kPropagationBound = std::chrono::seconds(3);
// A server of which no entry was written again for this long is not used.
constexpr Duration kRewriteBound = std::chrono::seconds(6);

// Odd records with keys that sort before and after those of good ones.
void PutOddServers(Deployment* deployment, const std::string& prefix) {
  int count = 0;
  for (const OddServerEntry& entry :
       OddServerEntries(deployment->ServerAddress())) {
    const std::string id =
        entry.id == "odd" ? prefix + std::to_string(++count) : entry.id;
    deployment->store.Put(kServersTopic, id, entry.text);
  }
}

void PutOddNodes(Deployment* deployment) {
  int count = 0;
  for (const std::string& value : std::vector<std::string>{
           "5", "[]", "\"x\"", "null", "{}", "\xff", R"({"endpoint": 5})",
           R"({"endpoint": {"host": "nowhere", "port": 80}})",
           R"({"endpoint": {"host": "127.0.0.1", "port": 99999999999}})",
           R"({"endpoint": {"host": "127.0.0.1", "port": 80}, "cores": "2"})",
           RepeatText("{\"endpoint\":", kOddNesting)}) {
    deployment->store.Put(kNodesTopic, "n0-" + std::to_string(++count), value);
  }
}

void PutOddGroups(Deployment* deployment) {
  int count = 0;
  for (const std::string& value : std::vector<std::string>{
           "5", "[]", "\xff", R"({"members": 5})", R"({"service": 1e300})",
           NestedArrays(kOddNesting)}) {
    deployment->store.Put(kGroupsTopic, "g" + std::to_string(++count), value);
  }
}

// Sends requests until one is answered by the server with the id `id`, at least
// one.
bool IsServedBy(Deployment* deployment,
                const std::string& id,
                Duration bound,
                Coroutine yield) {
  const MonotonicTime deadline = deployment->loop.Now() + bound;
  do {
    deployment->last_head.clear();
    const HttpResponse reply =
        deployment->SendRequest(deployment->settings.callers, "/x/1", yield);
    if (reply.HasResponseStatus(200) &&
        deployment->last_head.find("X-Expect-Instance: " + id + "\r\n") !=
            std::string::npos) {
      return true;
    }
    deployment->loop.Sleep(std::chrono::milliseconds(20), yield);
  } while (deployment->loop.Now() < deadline);
  return false;
}

// Guards against a process that ends, stops following the topic or uses another
// address at an entry that is nested very deep, or has a number too large or a
// port out of range.
TEST_CASE("A process follows good entries among odd ones") {
  Deployment deployment(Duration{0}, kStopGrace, [](Deployment* starting) {
    PutOddServers(starting, "a-odd");
    PutOddServers(starting, "z-odd");
  });
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    CHECK(deployment.IsReady(yield));
    CHECK(IsServedBy(&deployment, "i1", kPropagationBound, yield));
    PutOddServers(&deployment, "b-odd");
    deployment.PutServer("i2");
    PutOddServers(&deployment, "c-odd");
    deployment.store.Put(kServersTopic, "i1", "");
    CHECK(IsServedBy(&deployment, "i2", kPropagationBound, yield));
    for (int i = 0; i < 20; ++i) {
      CHECK(IsServedBy(&deployment, "i2", Duration{0}, yield));
    }
  });
}

// Guards against a process that ends at a record of an entry VM that is no
// table, or when it first calls one whose address no socket takes.
TEST_CASE("Odd records of entry VMs and groups end no process") {
  Deployment deployment(Duration{0}, kStopGrace, [](Deployment* starting) {
    PutOddNodes(starting);
    PutOddGroups(starting);
  });
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    CHECK(IsServedBy(&deployment, "i1", kPropagationBound, yield));
    PutOddNodes(&deployment);
    PutOddGroups(&deployment);
    // A refusal makes the process call the announced nodes.
    deployment.store.refusal = 503;
    deployment.loop.Sleep(std::chrono::milliseconds(1500), yield);
    CHECK(IsServedBy(&deployment, "i1", Duration{0}, yield));
    deployment.store.refusal = std::nullopt;
    deployment.PutServer("i2");
    deployment.store.Put(kServersTopic, "i1", "");
    CHECK(IsServedBy(&deployment, "i2", kPropagationBound, yield));
  });
}

// Guards against a server that is used for good although its entry was removed:
// an odd record of the same id hides the removal from a process that reads only
// the newest records.
TEST_CASE("A server whose entry turned odd is used only if it writes again") {
  Deployment deployment(Duration{0});
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    CHECK(IsServedBy(&deployment, "i1", kPropagationBound, yield));
    for (const bool writes_again : {true, false}) {
      deployment.store.Put(kServersTopic, "i1", RepeatText("[", kOddNesting));
      deployment.loop.Sleep(std::chrono::seconds(1), yield);
      CHECK(IsServedBy(&deployment, "i1", Duration{0}, yield));
      if (writes_again) {
        deployment.PutServer("i1");
      }
      deployment.loop.Sleep(kRewriteBound, yield);
      CHECK(IsServedBy(&deployment, "i1", Duration{0}, yield) == writes_again);
    }
    deployment.PutServer("i1");
    CHECK(IsServedBy(&deployment, "i1", kPropagationBound, yield));
  });
}

// A reader of the servers' topic.
struct Reader {
  Reader() : store(&this->loop), client(&this->loop, this->store.Address()) {}
  ~Reader() { this->loop.UnwindCoroutines(); }

  std::vector<TopicRecord> Newest() {
    std::vector<TopicRecord> records;
    RunCoroutine(&this->loop, [&](Coroutine yield) {
      const Result<TopicBatch> batch =
          this->client.ReadNewest(StoreTopic::kServers, yield);
      CHECK(batch.has_value());
      if (batch.has_value()) {
        records = batch.value().records;
      }
    });
    return records;
  }

  std::vector<std::string> NewestKeys() {
    std::vector<std::string> keys;
    for (const TopicRecord& record : this->Newest()) {
      keys.push_back(record.key);
    }
    return keys;
  }

  EventLoop loop;
  LoopStore store;
  StoreClient client;
};

// Guards against one malformed item that keeps a starting process from its
// first records.
TEST_CASE("A malformed item does not keep back the newest records") {
  for (const Json& item :
       {Json(5), Json(nullptr), Json::object(), Json{{"key", 5}},
        Json{{"key", "odd"}}, Json{{"key", "odd"}, {"value", nullptr}},
        Json{{"key", "odd"}, {"value", "e30="}, {"offset", "x"}},
        Json{{"key", "odd"}, {"value", "!"}, {"offset", 0}}}) {
    INFO(item.dump());
    Reader reader;
    reader.store.Put(kServersTopic, "a", "1");
    reader.store.Put(kServersTopic, "b", "2");
    reader.store.extra_items = Json::array({item});
    CHECK(reader.NewestKeys() == std::vector<std::string>{"a", "b"});
  }
}

// Guards against pages that repeat or end early after a key with reserved
// characters.
TEST_CASE("Pages continue after any key") {
  Reader reader;
  reader.store.page_size = 1;
  std::vector<std::string> keys = {"a",     "b c",       "d&x=1", "e#f",
                                   "g%20h", "i\r\nX: 1", "j+k",   "l/m"};
  for (const std::string& key : keys) {
    reader.store.Put(kServersTopic, key, "1");
  }
  CHECK(reader.NewestKeys() == keys);
}

// Guards against a write beyond the decoded value, whose size the library
// states without the last group.
TEST_CASE("A value without padding is decoded") {
  Reader reader;
  reader.store.extra_items =
      Json::array({{{"key", "a"},
                    {"value", "QUJDREVGR0hJSktMTU5PUFFSU1RVVldYWVphYmNkZWY"},
                    {"offset", 0}}});
  CHECK(reader.Newest() ==
        std::vector<TopicRecord>{{"a", "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdef", 0}});
}

}  // namespace
}  // namespace kumquatcart
