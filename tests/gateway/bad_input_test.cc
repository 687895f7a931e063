#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace kumquatcart {
namespace {

struct BadInput {
  std::string name;
  std::string request;
  std::string status;
  std::string says;
};

std::string Completion(const std::string& body,
                       const std::string& headers = {}) {
  return MakeRequest("POST", "/v1/completions", body, headers);
}

std::string WithToken(std::string request, const std::string& authorization) {
  const std::string known = "Authorization: Bearer armor-token\r\n";
  return request.replace(request.find(known), known.size(), authorization);
}

std::vector<BadInput> AllBadInput() {
  const std::string good = R"({"model":"llm","prompt":"p"})";
  const std::string cedar = "Authorization: Bearer cedar-token\r\n";
  return {
      {"malformed JSON", Completion("{\"model\":"), "400", "body: is not JSON"},
      {"not an object", Completion("[1]"), "400", "body: must be"},
      {"deep nesting", Completion(std::string(5000, '[')), "400", "body: is"},
      {"no model", Completion(R"({"prompt":"p"})"), "400", "body.model"},
      {"wrong type", Completion(R"({"model":"llm","prompt":4})"), "400",
       "body.prompt: must be a string"},
      {"wrong limit",
       Completion(R"({"model":"llm","prompt":"p","max_tokens":-1})"), "400",
       "body.max_tokens"},
      {"huge limit",
       Completion(
           R"({"model":"llm","prompt":"p","max_tokens":99999999999999999999})"),
       "400", "body.max_tokens"},
      {"wrong stream",
       Completion(R"({"model":"llm","prompt":"p","stream":"yes"})"), "400",
       "body.stream"},
      {"wrong message",
       MakeRequest("POST", "/v1/chat/completions",
                   R"({"model":"llm","messages":[{"role":"user"}]})"),
       "400", "body.messages[0].content"},
      {"unknown model", Completion(R"({"model":"other","prompt":"p"})"), "404",
       "unknown service 'other'"},
      {"another partner's model", WithToken(Completion(good), cedar), "404",
       "unknown service 'llm'"},
      {"another partner's service",
       WithToken(MakeRequest("GET", "/services/registre/x", ""), cedar), "404",
       "unknown service 'registre'"},
      {"no token", WithToken(Completion(good), ""), "401", "Authorization"},
      {"unknown token",
       WithToken(Completion(good), "Authorization: Bearer x\r\n"), "401",
       "unknown token"},
      {"wrong method", MakeRequest("GET", "/v1/completions", ""), "405",
       "method"},
      {"unknown path", MakeRequest("GET", "/nothing", ""), "404", "path"},
      {"wrong timeout", Completion(good, "Request-Timeout-Ms: soon\r\n"), "400",
       "header Request-Timeout-Ms"},
      {"wrong priority", Completion(good, "Priority: 99\r\n"), "400",
       "header Priority"},
      {"long request id",
       Completion(good, "X-Request-Id: " + std::string(300, 'x') + "\r\n"),
       "400", "header X-Request-Id"},
      {"long headers",
       Completion(good, "X-Long: " + std::string(40000, 'x') + "\r\n"), "431",
       "headers: are longer"},
      {"long body", Completion(std::string(3 << 20, ' ')), "413",
       "body: is longer"},
      {"long chunked body",
       "POST /v1/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer "
       "armor-token\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" +
           std::string(0x200000, ' ') + "\r\n0\r\n\r\n",
       "413", "body: is longer"},
  };
}

TEST_CASE("Bad input is refused as not run, saying what and where",
          "[gateway]") {
  GatewayFixture fixture;
  RawServer backend(
      [](RawConnection* connection, int) { connection->ReadToEnd(); });
  fixture.AddGroup("g1", backend.Address());
  fixture.AddServiceVm("v1", backend.Address());
  for (const BadInput& input : AllBadInput()) {
    CAPTURE(input.name);
    const std::string answer = fixture.Call(input.request);
    CHECK(answer.find("HTTP/1.1 " + input.status) == 0);
    CHECK(HeaderValue(answer, kOutcomeHeader) == "not-run");
    CHECK(answer.find(input.says) != std::string::npos);
    CHECK(answer.find("\"outcome\":\"not-run\"") != std::string::npos);
  }
  CHECK(backend.Connections() == 0);
  CHECK(fixture.CounterValue("kumquatcart_gateway_refused_input_total") ==
        AllBadInput().size());
  fixture.gateway->Stop();
}

}  // namespace
}  // namespace kumquatcart
