#include "net/message_parsing.h"

#include <limits>
#include <random>
#include <sstream>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

namespace http = boost::beast::http;

enum class ParseEnd { kIncomplete, kDone, kError };

struct ParseOutcome {
  ParseEnd end = ParseEnd::kIncomplete;
  std::string body;
  std::size_t capacity = 0;  // Memory held for the body, in bytes.
};

// Parses `parts` as they would arrive one after the other.
template <class Parser>
ParseOutcome ParseParts(const std::vector<std::string>& parts) {
  Parser parser;
  parser.header_limit(64 * 1024);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  std::string input;
  ParseOutcome outcome;
  for (const std::string& part : parts) {
    input += part;
    while (!input.empty() && !parser.is_done()) {
      boost::system::error_code error;
      const std::size_t used = ParseSection(&parser, input, &error);
      input.erase(0, used);
      if (error) {
        outcome.end = ParseEnd::kError;
        return outcome;
      }
      if (used == 0) {
        break;
      }
    }
  }
  outcome.end = parser.is_done() ? ParseEnd::kDone : ParseEnd::kIncomplete;
  outcome.body = parser.get().body();
  outcome.capacity = parser.get().body().capacity();
  return outcome;
}

using RequestParser = http::request_parser<ReceivedBody>;
using ResponseParser = http::response_parser<ReceivedBody>;

ParseOutcome ParseMessage(bool is_request,
                          const std::vector<std::string>& parts) {
  return is_request ? ParseParts<RequestParser>(parts)
                    : ParseParts<ResponseParser>(parts);
}

std::string StartLine(bool is_request) {
  return is_request ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
}

const char kChunks[] =
    "Transfer-Encoding: chunked\r\n\r\n"
    "6;x=y\r\nbooked\r\n1\r\n!\r\n0\r\nX-Odd: y\r\n\r\n";
const char kLength[] = "Content-Length: 7\r\n\r\nbooked!";

TEST_CASE("A message is the same wherever its bytes are split") {
  for (const bool is_request : {true, false}) {
    for (const char* rest : {kChunks, kLength}) {
      const std::string message = StartLine(is_request) + rest;
      for (std::size_t first = 0; first <= message.size(); ++first) {
        for (std::size_t second = first; second <= message.size(); ++second) {
          const ParseOutcome outcome =
              ParseMessage(is_request, {message.substr(0, first),
                                        message.substr(first, second - first),
                                        message.substr(second)});
          if (outcome.end != ParseEnd::kDone || outcome.body != "booked!") {
            FAIL(message << " split at " << first << " and " << second);
          }
        }
      }
    }
  }
}

// Guards against memory that is reserved because a sender announces a body.
TEST_CASE("A body takes memory only as it arrives") {
  constexpr std::size_t kMaxCapacity = 256;
  for (const bool is_request : {true, false}) {
    for (int exponent = 4; exponent < 64; ++exponent) {
      for (const int offset : {-1, 0, 1}) {
        const std::uint64_t length = (std::uint64_t{1} << exponent) + offset;
        CAPTURE(is_request, length);
        const ParseOutcome by_length = ParseMessage(
            is_request, {StartLine(is_request) + "Content-Length: " +
                         std::to_string(length) + "\r\n\r\nbooked"});
        CHECK(by_length.end == ParseEnd::kIncomplete);
        CHECK(by_length.body == "booked");
        CHECK(by_length.capacity <= kMaxCapacity);
        std::ostringstream size;
        size << std::hex << length;
        const ParseOutcome in_chunks =
            ParseMessage(is_request, {StartLine(is_request) +
                                      "Transfer-Encoding: chunked\r\n\r\n" +
                                      size.str() + "\r\nbooked"});
        CHECK(in_chunks.end == ParseEnd::kIncomplete);
        CHECK(in_chunks.capacity <= kMaxCapacity);
      }
    }
  }
}

// Lengths at which a section may meet a limit.
std::vector<std::size_t> EdgeLengths() {
  std::vector<std::size_t> lengths;
  for (std::size_t power = 1024; power <= 256 * 1024; power *= 2) {
    lengths.insert(lengths.end(), {power - 1, power, power + 1});
  }
  // Around the largest field that the library stores.
  for (std::size_t length = 65'528; length < 65'540; ++length) {
    lengths.push_back(length);
  }
  return lengths;
}

// Guards against a section that ends the process or is collected without
// bounds, however its bytes arrive.
TEST_CASE("Every section of a message is bounded") {
  struct Section {
    std::string before;
    std::string after;
    std::size_t limit;
  };
  constexpr std::size_t kHeadLimit = 64 * 1024;
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Section> sections = {
      {"X-Odd: ", "\r\nContent-Length: 0\r\n\r\n", kHeadLimit},
      {chunked + "1;x=", "\r\n!\r\n0\r\n\r\n", kMaxChunkFramingBytes},
      {chunked + "0;x=", "\r\n\r\n", kMaxChunkFramingBytes},
      {chunked + "0\r\nX-Odd: ", "\r\n\r\n", kMaxChunkFramingBytes},
      {chunked + "0\r\n", ": y\r\n\r\n", kMaxChunkFramingBytes},
  };
  constexpr std::size_t kReadBytes = 32 * 1024;
  constexpr std::size_t kSlack = 128;  // For the rest of the section.
  for (const bool is_request : {true, false}) {
    for (const Section& section : sections) {
      for (const std::size_t length : EdgeLengths()) {
        const std::string message = StartLine(is_request) + section.before +
                                    std::string(length, 'o') + section.after;
        std::vector<std::string> reads;
        for (std::size_t at = 0; at < message.size(); at += kReadBytes) {
          reads.push_back(message.substr(at, kReadBytes));
        }
        for (const auto& parts : {std::vector<std::string>{message}, reads}) {
          CAPTURE(is_request, section.before, length, parts.size());
          const ParseOutcome outcome = ParseMessage(is_request, parts);
          if (length + kSlack <= section.limit) {
            CHECK(outcome.end == ParseEnd::kDone);
          }
          if (length > section.limit) {
            CHECK(outcome.end == ParseEnd::kError);
          }
        }
      }
    }
  }
}

// Guards against bytes that end the process in a parser.
TEST_CASE("Random changes of a message are parsed without an exception") {
  constexpr int kRounds = 20'000;
  std::mt19937 random(20261205);
  for (int round = 0; round < kRounds; ++round) {
    const bool is_request = random() % 2 == 0;
    std::string message =
        StartLine(is_request) + (random() % 2 == 0 ? kChunks : kLength);
    for (std::size_t changes = random() % 4; changes > 0; --changes) {
      const std::size_t at = random() % message.size();
      switch (random() % 3) {
        case 0:
          message[at] = static_cast<char>(random());
          break;
        case 1:
          message.insert(at, message.substr(random() % message.size(), 9));
          break;
        default:
          message.erase(at, random() % 9 + 1);
          message += 'x';
          break;
      }
    }
    const std::size_t split = random() % message.size();
    ParseMessage(is_request, {message.substr(0, split), message.substr(split)});
  }
}

}  // namespace
}  // namespace kumquatcart
