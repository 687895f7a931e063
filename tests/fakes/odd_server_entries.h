// Records of the servers' topic that name no server: another writer left them
// there.
#ifndef FAKES_ODD_SERVER_ENTRIES_H_
#define FAKES_ODD_SERVER_ENTRIES_H_

#include <string>
#include <utility>
#include <vector>

namespace kumquatcart {

struct OddServerEntry {
  std::string what;  // Names the case in a failed test.
  std::string id;
  std::string text;
};

// Nesting that no recursive code survives, also in a coroutine.
inline constexpr int kOddNesting = 100'000;
inline constexpr int kOddFieldNesting = 10'000;

inline std::string RepeatText(const std::string& text, int count) {
  std::string repeated;
  for (int i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

// A well-formed entry of the service "s", except for `field`, whose value is
// replaced by the JSON text `value`, or which is added.
inline std::string ServerEntryWith(const std::string& address,
                                   const std::string& field = {},
                                   const std::string& value = {}) {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"service", "\"s\""}, {"address", '"' + address + '"'},
      {"zone", "\"a\""},    {"version", "\"v\""},
      {"slots", "4"},       {"state", "\"ready\""},
      {"seq", "0"},         {"cold_left_ms", "0"},
      {"born", "1700"}};
  std::string text;
  bool is_replaced = false;
  for (const auto& [name, usual] : fields) {
    is_replaced = is_replaced || name == field;
    text += (text.empty() ? "{\"" : ", \"") + name +
            "\": " + (name == field ? value : usual);
  }
  if (!is_replaced && !field.empty()) {
    text += ", \"" + field + "\": " + value;
  }
  return text + "}";
}

inline std::string NestedArrays(int depth) {
  return RepeatText("[", depth) + RepeatText("]", depth);
}

inline std::string NestedObjects(int depth) {
  return RepeatText("{\"a\":", depth) + "1" + RepeatText("}", depth);
}

inline std::vector<OddServerEntry> OddNestings(const std::string& address) {
  std::vector<OddServerEntry> entries = {
      {"unclosed nesting", "odd", RepeatText("[", kOddNesting)},
      {"nested arrays", "odd", NestedArrays(kOddNesting)},
      {"nested objects", "odd", NestedObjects(kOddNesting)}};
  for (const char* field : {"extra", "models", "staged", "group", "domain"}) {
    for (const std::string& value :
         {NestedArrays(kOddFieldNesting), NestedObjects(kOddFieldNesting)}) {
      entries.push_back({std::string("nesting in ") + field, "odd",
                         ServerEntryWith(address, field, value)});
    }
  }
  return entries;
}

inline std::vector<OddServerEntry> OddNumbers(const std::string& address) {
  std::vector<OddServerEntry> entries;
  const auto add = [&](const std::string& field, const std::string& value) {
    entries.push_back({field + " " + value.substr(0, 40), "odd",
                       ServerEntryWith(address, field, value)});
  };
  const std::vector<std::string> out_of_range = {"-1",
                                                 "9223372036854775808",
                                                 "18446744073709551615",
                                                 "1e300",
                                                 "18446744073709551616",
                                                 "1e400",
                                                 "NaN",
                                                 "-Infinity",
                                                 RepeatText("9", 5000)};
  for (const std::string& value : out_of_range) {
    for (const char* field : {"slots", "born", "seq", "cold_left_ms"}) {
      add(field, value);
    }
    add("group", R"({"name": "g", "state": "ready", "rank": 0, "epoch": )" +
                     value + "}");
    add("group", R"({"name": "g", "state": "ready", "epoch": 3, "rank": )" +
                     value + "}");
  }
  // Values that a conversion to 32 bits turns into usual ones.
  for (const char* value : {"0", "1.5", "2147483648", "4294967296",
                            "4294967300", "9223372036854775807"}) {
    add("slots", value);
  }
  add("group",
      R"({"name": "g", "state": "open", "epoch": 3, "rank": 4294967296})");
  add("group", R"({"name": "g", "state": "open", "epoch": 3.5, "rank": 0})");
  add("born", "1.5");
  add("born", "9223372036854775807");  // No later start would count.
  return entries;
}

inline std::vector<OddServerEntry> OddAddresses() {
  std::vector<OddServerEntry> entries;
  for (const char* address :
       {"127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:99999999999", "127.0.0.1:+80", "127.0.0.1: 80",
        "127.0.0.1:80x", "127.0.0.1:", "127.0.0.1", ":80", "", "127.0.0.256:80",
        "0.0.0.0:80", "[::]:80", ":::80", "nowhere:80",
        "127.0.0.1\\u0000.evil:80", "127.0.0.1:80\\u0000"}) {
    entries.push_back(
        {std::string("address ") + address, "odd", ServerEntryWith(address)});
  }
  return entries;
}

inline std::vector<OddServerEntry> OddIds(const std::string& address) {
  std::vector<OddServerEntry> entries;
  for (const char* id : {"", "odd id", "odd\r\nX-Tenant: other", "odd\n",
                         "\xff\xfe", "\xc3\xa4", "odd\x7f"}) {
    entries.push_back({std::string("id ") + id, id, ServerEntryWith(address)});
  }
  return entries;
}

// All of them. `address`: of a running server, which entries name that are odd
// in another field.
inline std::vector<OddServerEntry> OddServerEntries(
    const std::string& address) {
  std::vector<OddServerEntry> entries = {{"no JSON", "odd", "\xff\xfe"},
                                         {"another type", "odd", "[]"},
                                         {"null", "odd", "null"},
                                         {"a number", "odd", "1e300"}};
  for (auto list : {OddNestings(address), OddNumbers(address), OddAddresses(),
                    OddIds(address)}) {
    entries.insert(entries.end(), list.begin(), list.end());
  }
  return entries;
}

}  // namespace kumquatcart

#endif  // FAKES_ODD_SERVER_ENTRIES_H_
