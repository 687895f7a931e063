#include "base/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

constexpr std::size_t kMaxErrorBytes = 1000;  // Goes into one log line.

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// `depth` arrays in each other, in CBOR.
std::string NestedCbor(std::size_t depth) {
  return std::string(depth - 1, '\x81') + '\x80';
}

// Guards against a document that overflows the stack of the coroutine that
// copies or encodes it, or whose nesting takes many times its own memory.
TEST_CASE("Text that nests too deep is an error") {
  CHECK(ParseJson(Nested(kMaxJsonNesting)).has_value());
  CHECK(ParseJson(Nested(kMaxJsonNesting + 1)).has_error());
  CHECK(ParseJson(Nested(100'000)).has_error());
  CHECK(ParseJson(std::string(1'000'000, '[')).has_error());
  // Brackets in texts do not nest.
  CHECK(ParseJson(R"(["\"[[[)" + std::string(1000, '{') + R"(\\", "]"])")
            .has_value());
  // Closed ones count no longer.
  std::string row = "[0";
  for (int i = 0; i < 1000; ++i) {
    row += ",[]";
  }
  CHECK(ParseJson(row + "]").has_value());
}

// Guards against a log line as long as the malformed document.
TEST_CASE("The message of a malformed document is short") {
  const std::string long_text = '"' + std::string(100'000, 'x');
  const Result<Json> json = ParseJson(long_text);
  REQUIRE(json.has_error());
  CHECK(json.error().message.size() < kMaxErrorBytes);
}

// Guards against a datagram or a peer's answer that overflows the stack of the
// recursive decoder.
TEST_CASE("CBOR that nests too deep is an error") {
  CHECK(ParseCbor(NestedCbor(kMaxCborNesting)).value().size() == 1);
  CHECK(ParseCbor(NestedCbor(kMaxCborNesting + 1)).has_error());
  constexpr std::size_t kBytes = 1'000'000;
  // Arrays, maps, arrays and maps without a length, texts and binaries in
  // parts, tags.
  for (const char* level : {"\x81", "\xa1\x60", "\x9f", "\xbf\x60", "\x7f",
                            "\x5f", "\xc1", "\x98\x01", "\xb8\x01\x60"}) {
    std::string bytes;
    while (bytes.size() < kBytes) {
      bytes += level;
    }
    INFO(static_cast<int>(static_cast<unsigned char>(*level)));
    CHECK(ParseCbor(bytes).has_error());
  }
}

TEST_CASE("CBOR with impossible lengths is an error") {
  for (const std::string& bytes :
       {std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x7b\xff\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x9b"), std::string("\xff"), std::string(),
        std::string("\x80\x80")}) {
    CHECK(ParseCbor(bytes).has_error());
  }
}

// A function of its own because RC_ASSERT evaluates both operands of `||`.
bool IsParsedOrMalformed(const Result<Json>& json) {
  return json.has_value() || json.error().code == ErrorCode::kInvalidArgument;
}

TEST_CASE("Any bytes are parsed or malformed") {
  CHECK(rc::check([](const std::string& bytes) {
    RC_ASSERT(IsParsedOrMalformed(ParseJson(bytes)));
    RC_ASSERT(IsParsedOrMalformed(ParseCbor(bytes)));
  }));
}

rc::Gen<Json> AnyDocument(int depth) {
  auto scalar = rc::gen::oneOf(
      rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                   [](std::int64_t number) { return Json(number); }),
      rc::gen::map(rc::gen::arbitrary<std::uint64_t>(),
                   [](std::uint64_t number) { return Json(number); }),
      rc::gen::map(rc::gen::arbitrary<bool>(),
                   [](bool value) { return Json(value); }),
      rc::gen::map(rc::gen::arbitrary<float>(),
                   [](float number) { return Json(number); }),
      rc::gen::map(
          rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127)),
          [](const std::string& text) { return Json(text); }),
      rc::gen::map(rc::gen::arbitrary<std::vector<std::uint8_t>>(),
                   [](const auto& bytes) { return Json::binary(bytes); }),
      rc::gen::just(Json(nullptr)));
  if (depth == 0) {
    return scalar;
  }
  return rc::gen::oneOf(
      scalar,
      rc::gen::map(
          rc::gen::container<std::vector<Json>>(AnyDocument(depth - 1)),
          [](const std::vector<Json>& items) { return Json(items); }),
      rc::gen::map(
          rc::gen::container<std::map<std::string, Json>>(
              rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127)),
              AnyDocument(depth - 1)),
          [](const auto& fields) { return Json(fields); }));
}

TEST_CASE("What the encoder writes in CBOR is parsed") {
  CHECK(rc::check([] {
    const Json json = *AnyDocument(3);
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    const Result<Json> parsed =
        ParseCbor(std::string(bytes.begin(), bytes.end()));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(Json::to_cbor(parsed.value()) == bytes);
  }));
}

}  // namespace
}  // namespace kumquatcart
