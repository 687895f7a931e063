// Forms of a proper request that differ in bytes and not in meaning (RFC 9110,
// RFC 9112), and forms that must stay refused.
#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

// One entry VM with a plain server, which serves /again/.
struct Forms {
  Forms() {
    this->fixture.AddPlain("a", AnswerWith([this](const std::string& head) {
                             this->fixture.received.push_back(head);
                             return MakeAnswer(head, "200 OK", "a");
                           }));
  }

  // The status that the request gets which is MakeRequest's with `from`
  // replaced by `to`.
  std::string StatusOf(const std::string& from, const std::string& to) {
    std::string request = MakeRequest("GET", "/again/x");
    const std::size_t at = request.find(from);
    REQUIRE(at != std::string::npos);
    request.replace(at, from.size(), to);
    const std::string answer = this->fixture.SendRequest(request);
    return answer.substr(answer.find(' ') + 1, 3);
  }

  EntryFixture fixture;
};

// Guards against 404 for a request whose host is written with other cases than
// the route's, or with a port.
TEST_CASE("A request's host is compared without case and port") {
  Forms forms;
  for (const char* host : {"h", "H", "h:8080", "H:80"}) {
    CAPTURE(host);
    CHECK(forms.StatusOf("Host: h", std::string("Host: ") + host) == "200");
  }
  CHECK(forms.StatusOf("Host: h", "Host: [h]:80") == "404");
  CHECK(forms.StatusOf("Host: h", "Host: h\r\nHost: h") == "400");
}

// Guards against 401 for a known key whose scheme is written with other cases,
// or with more than one space behind it.
TEST_CASE("The scheme of a key is compared without case") {
  Forms forms;
  const std::string sent = "Authorization: Bearer key";
  for (const char* credentials : {"Bearer key", "bearer key", "BEARER key",
                                  "Bearer  key", "bearer   key"}) {
    CAPTURE(credentials);
    CHECK(forms.StatusOf(sent, std::string("Authorization: ") + credentials) ==
          "200");
  }
  for (const char* credentials :
       {"Bearer", "Bearer other", "Bearer Key", "Bearerkey", "Basic key"}) {
    CAPTURE(credentials);
    CHECK(forms.StatusOf(sent, std::string("Authorization: ") + credentials) ==
          "401");
  }
}

// Guards against 400 for a target in absolute form, which servers must accept,
// and against one that names another host than the Host field.
TEST_CASE("A target in absolute form is accepted") {
  Forms forms;
  for (const char* target :
       {"http://h/again/x", "HTTP://H:80/again/x", "https://h/again/x"}) {
    CAPTURE(target);
    REQUIRE(forms.StatusOf("/again/x", target) == "200");
    CHECK(forms.fixture.received.back().rfind("GET /again/x HTTP/1.1\r\n", 0) ==
          0);
  }
  CHECK(forms.StatusOf("/again/x", "http://h/again/x?q=http://g/") == "200");
  CHECK(forms.StatusOf("/again/x", "http://h") == "404");
  const std::size_t sent = forms.fixture.received.size();
  for (const char* target :
       {"http://other/again/x", "http://u@h/again/x", "http:///again/x",
        "http://h/again/x#f", "ftp://h/again/x", "h:80", "*", "again/x"}) {
    CAPTURE(target);
    CHECK(forms.StatusOf("/again/x", target) == "400");
  }
  CHECK(forms.fixture.received.size() == sent);
}

// Guards against 400 for an empty line before a request, and against its
// passing for the beginning of one.
TEST_CASE("One empty line before a request is dropped") {
  Forms forms;
  CHECK(forms.StatusOf("GET ", "\r\nGET ") == "200");
  CHECK(forms.StatusOf("GET ", "\r\n\r\nGET ") == "400");
  CHECK(forms.StatusOf("GET ", "\rGET ") == "400");
  CHECK(forms.StatusOf("GET ", "\r\n GET ") == "400");
}

// Guards against an answer that no request asked for, to a caller that sends an
// empty line after a body and rests.
TEST_CASE("A connection on which only an empty line arrives is idle") {
  Forms forms;
  forms.fixture.SetIdleTimeout(std::chrono::milliseconds(300));
  for (const char* bytes : {"\r", "\r\n"}) {
    CAPTURE(bytes);
    CHECK(forms.fixture.SendRequest(bytes).empty());
  }
}

}  // namespace
}  // namespace kumquatcart
