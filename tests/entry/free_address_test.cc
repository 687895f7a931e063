// Guards against servers of tests that cannot start since another socket has
// taken their port: one that the kernel has assigned, or an earlier choice.
#include "fakes/free_address.h"

#include <set>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("No two servers of tests get the same address") {
  constexpr std::size_t kServers = 2000;
  std::set<TcpEndpoint> addresses;
  for (std::size_t i = 0; i < kServers; ++i) {
    addresses.insert(FreeAddress());
  }
  CHECK(addresses.size() == kServers);
  const auto shared = boost::asio::ip::make_address("127.0.0.1");
  CHECK(addresses.begin()->address() != shared);
  CHECK(addresses.rbegin()->address() != shared);
}

}  // namespace
}  // namespace kumquatcart
