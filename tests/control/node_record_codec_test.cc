#include "control/node_record_codec.h"

#include <catch2/catch.hpp>

#include "fakes/odd_server_entries.h"

namespace kumquatcart {
namespace {

TEST_CASE("A node record is unchanged by encoding and decoding") {
  const NodeRecord record{Endpoint{"10.0.0.1", 70}, "a", 0.5};
  CHECK(DecodeNodeRecord(EncodeNodeRecord(record)).value() == record);
  CHECK(DecodeNodeRecord(R"({"endpoint": {"host": "::1", "port": 65535}})")
            .value() == NodeRecord{Endpoint{"::1", 65535}, "", 0});
}

// Guards against an exception that ends the process: a record that is no table,
// or whose address no socket takes.
TEST_CASE("An odd node record is an error") {
  for (const std::string& text : std::vector<std::string>{
           "", "5", "[]", "\"x\"", "null", "{}", NestedObjects(kOddNesting),
           R"({"endpoint": 5})",
           R"({"endpoint": {"host": "nowhere", "port": 80}})",
           R"({"endpoint": {"host": "", "port": 80}})",
           R"({"endpoint": {"host": 5, "port": 80}})",
           R"({"endpoint": {"host": "10.0.0.1", "port": -1}})",
           R"({"endpoint": {"host": "10.0.0.1", "port": 65536}})",
           R"({"endpoint": {"host": "10.0.0.1", "port": 99999999999}})",
           R"({"endpoint": {"host": "10.0.0.1", "port": 1e300}})",
           R"({"endpoint": {"host": "10.0.0.1", "port": 80.5}})",
           R"({"endpoint": {"host": "10.0.0.1", "port": 80}, "cores": "2"})",
           R"({"endpoint": {"host": "10.0.0.1", "port": 80},
               "failure_domain": 1})"}) {
    INFO(text.substr(0, 100));
    CHECK(DecodeNodeRecord(text).has_error());
  }
}

}  // namespace
}  // namespace kumquatcart
