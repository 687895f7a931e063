#include "base/json.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatcart {

namespace {

// Part of a parser's message that goes into an error. The whole one repeats the
// text at which the parser failed.
constexpr std::size_t kMaxMessageBytes = 300;

Error Malformed(const char* message) {
  return MakeError(ErrorCode::kInvalidArgument,
                   std::string(message).substr(0, kMaxMessageBytes));
}

Error TooDeep() {
  return MakeError(ErrorCode::kInvalidArgument, "the document nests too deep");
}

bool NestsTooDeep(const std::string& text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (in_string && character == '\\') {
      ++index;
    } else if (character == '"') {
      in_string = !in_string;
    } else if (!in_string && (character == '[' || character == '{')) {
      ++depth;
    } else if (!in_string && depth > 0 &&
               (character == ']' || character == '}')) {
      --depth;
    }
    if (depth > kMaxJsonNesting) {
      return true;
    }
  }
  return false;
}

// Walks through the items of a CBOR document without recursion. The library's
// decoder recurses at each level of arrays and maps, and of texts and binaries
// in parts.
class CborWalk {
 public:
  explicit CborWalk(const std::string& bytes) : bytes(bytes) {}

  // Whether the document has bounded nesting and uses only what encoders of
  // this system write: no indefinite lengths and no tags. Stops where the
  // document is cut off, which the decoder reports.
  bool IsBounded() {
    // Items that are missing in the document and in each open array or map.
    std::vector<std::uint64_t> missing = {1};
    while (!missing.empty() && this->at < this->bytes.size()) {
      if (missing.back() == 0) {
        missing.pop_back();
        continue;
      }
      --missing.back();
      const Item item = this->SkipItem();
      if (!item.is_allowed) {
        return false;
      }
      if (item.children) {
        if (missing.size() > kMaxCborNesting) {
          return false;
        }
        missing.push_back(*item.children);
      }
    }
    return true;
  }

 private:
  enum class MajorType { kBinary = 2, kText, kArray, kMap, kTag };

  struct Item {
    bool is_allowed = true;
    std::optional<std::uint64_t> children;  // None: no array or map.
  };

  // Skips the head of an item and the bytes of a text or binary.
  Item SkipItem() {
    constexpr unsigned kTypeShift = 5;
    constexpr unsigned kArgumentMask = 31;
    constexpr unsigned kOneByteArgument = 24;
    constexpr unsigned kMaxArgument = 27;
    const auto head = static_cast<unsigned char>(this->bytes[this->at++]);
    const auto type = static_cast<MajorType>(head >> kTypeShift);
    std::uint64_t argument = head & kArgumentMask;
    if (argument > kMaxArgument || type == MajorType::kTag) {
      return {false, std::nullopt};
    }
    if (argument >= kOneByteArgument) {
      argument =
          this->TakeNumber(std::size_t{1} << (argument - kOneByteArgument));
    }
    switch (type) {
      case MajorType::kBinary:
      case MajorType::kText:
        this->at +=
            std::min<std::uint64_t>(argument, this->bytes.size() - this->at);
        return {};
      case MajorType::kArray:
        return {true, argument};
      case MajorType::kMap:
        return {true, std::min(argument, UINT64_MAX / 2) * 2};
      default:
        return {};
    }
  }

  std::uint64_t TakeNumber(std::size_t size) {
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < size && this->at < this->bytes.size(); ++i) {
      number =
          (number << 8) | static_cast<unsigned char>(this->bytes[this->at++]);
    }
    return number;
  }

  const std::string& bytes;
  std::size_t at = 0;
};

}  // namespace

Result<Json> ParseJson(const std::string& text) {
  if (NestsTooDeep(text)) {
    return TooDeep();
  }
  try {
    return Json::parse(text);
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

Result<Json> ParseCbor(const std::string& bytes) {
  if (!CborWalk(bytes).IsBounded()) {
    return TooDeep();
  }
  try {
    return Json::from_cbor(bytes);
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

}  // namespace kumquatcart
