#include "base/logging.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("A key=value log line quotes values with spaces or line breaks") {
  const std::string line = internal::FormatLogLine(
      LogFormat::kKeyValue, 1000, LogLevel::kInfo, "started",
      {{"node", "a b"}, {"reason", "x\ny"}, {"count", 3}});
  REQUIRE(line ==
          "time=1970-01-01T00:00:01.000Z level=info event=started node=\"a b\" "
          "reason=\"x\\ny\" count=3");
}

TEST_CASE("A JSON log line is one valid object") {
  const std::string line =
      internal::FormatLogLine(LogFormat::kJson, 1000, LogLevel::kError,
                              "failed", {{"text", "\xff\"\n"}});
  REQUIRE(line.find('\n') == std::string::npos);
  REQUIRE(nlohmann::json::parse(line)["event"] == "failed");
}

}  // namespace
}  // namespace kumquatcart
