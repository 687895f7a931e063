#include "base/setting.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE(
    "A duration setting rejects invalid text with key and range in the error") {
  Duration lease = std::chrono::seconds(3);
  const Setting setting =
      DurationSetting("lease-ms", "Lease duration in milliseconds.", &lease,
                      std::chrono::seconds(1), std::chrono::seconds(60));
  REQUIRE(setting.default_text == "3000");
  for (const char* const text : {"", "x", "5s", "999", "60001", "-1"}) {
    const Status status = setting.assign(text);
    REQUIRE(status.has_error());
    REQUIRE(status.error().message.find("lease-ms") != std::string::npos);
    REQUIRE(status.error().message.find("1000 to 60000") != std::string::npos);
  }
  REQUIRE(lease == std::chrono::seconds(3));
  REQUIRE(setting.assign("5000").has_value());
  REQUIRE(lease == std::chrono::seconds(5));
}

TEST_CASE("A choice setting lists the allowed values in its error") {
  std::string format = "text";
  const Setting setting =
      ChoiceSetting("format", "Output format.", &format, {"text", "json"});
  REQUIRE(setting.assign("xml").error().message ==
          "setting 'format' is 'xml', but must be one of text, json");
  REQUIRE(setting.assign("json").has_value());
}

}  // namespace
}  // namespace kumquatcart
