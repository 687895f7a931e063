#include "cli/request_story.h"

#include <sstream>

#include <catch2/catch.hpp>

#include "cli/explain_command.h"

namespace kumquatcart {
namespace {

const std::vector<std::string> kLog = {
    "time=1 level=info event=group_open group=g epoch=5",
    "time=2 level=info event=group_open group=other epoch=6",
    "time=3 level=info event=group_silent group=g epoch=5 streams=4",
    "time=4 level=warning event=server_unreachable server=a",
    ("time=5 level=info event=attempt id=r1 server=a group=g epoch=5 "
     "end=may_have_run reason=\"the group lost a member\""),
    "time=6 level=info event=request id=r2 server=b status=200",
    "time=7 level=info event=request id=r1 server=c status=502",
    "time=8 level=info event=server_reachable server=a",
    "time=9 level=info event=server_reachable server=z"};

TEST_CASE("A story holds the request's lines and what was believed before") {
  const RequestStory story = TellRequestStory(kLog, "r1");
  CHECK(story.decisions == std::vector<std::string>{kLog[4], kLog[6]});
  CHECK(story.beliefs == std::vector<std::string>{kLog[0], kLog[2], kLog[3]});
  CHECK(story.corrections == std::vector<std::string>{kLog[7]});
}

// Guards against a rejection whose limit cannot be traced to the answer that
// named it.
TEST_CASE("A story of a rate-limited request holds the limit's history") {
  const std::vector<std::string> log = {
      "time=1 event=server_limit server=a limit=2.8 source=answer origin=r0",
      "time=2 event=server_limit server=b limit=1.0 source=answer origin=r0",
      "time=3 event=server_limit_share server=a limit=2.8 share=0.35",
      "time=4 event=rate_limited id=r1 server=a limit=2.8 share=0.35",
      "time=5 event=request id=r1 server=\"\" status=503"};
  const RequestStory story = TellRequestStory(log, "r1");
  CHECK(story.decisions == std::vector<std::string>{log[3], log[4]});
  CHECK(story.beliefs == std::vector<std::string>{log[0], log[2]});
}

// Guards against a rejection whose cause is the answer to an earlier request.
TEST_CASE(
    "A story of a request that was held back holds the server's backoff") {
  const std::vector<std::string> log = {
      "time=1 event=server_backoff id=r0 server=a backoff_ms=2000",
      "time=2 event=server_backoff id=r0 server=b backoff_ms=3000",
      "time=3 event=held_back id=r1 server=a backoff_left_ms=1200",
      "time=4 event=request id=r1 server=\"\" status=503"};
  const RequestStory story = TellRequestStory(log, "r1");
  CHECK(story.decisions == std::vector<std::string>{log[2], log[3]});
  CHECK(story.beliefs == std::vector<std::string>{log[0]});
}

TEST_CASE("explain prints the story, and says when there is none") {
  RuntimeClock clock;
  std::string text;
  for (const std::string& line : kLog) {
    text += line + "\n";
  }
  for (const auto& [id, code] :
       {std::pair<std::string, ExitCode>{"r1", ExitCode::kDone},
        {"unknown", ExitCode::kRefused}}) {
    std::istringstream input(text);
    std::ostringstream output;
    std::ostringstream errors;
    CommandList commands;
    commands.push_back(std::make_unique<ExplainCommand>());
    CHECK(RunCommandLine({"explain", id}, commands,
                         {input, output, errors, clock}) == code);
    CHECK((output.str().find("the group lost a member") != std::string::npos) ==
          (code == ExitCode::kDone));
    CHECK(errors.str().empty() == (code == ExitCode::kDone));
  }
}

}  // namespace
}  // namespace kumquatcart
