#include "cli/request_story.h"

#include <algorithm>
#include <set>

namespace kumquatcart {

namespace {

// Newest beliefs that are shown; older ones had no part in it.
constexpr std::size_t kShownBeliefs = 12;

// Value of `key` in a line of key=value pairs; empty where there is none.
std::string FieldOf(const std::string& line, const std::string& key) {
  const std::string wanted = " " + key + "=";
  const std::size_t at = line.find(wanted);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + wanted.size();
  return line.substr(begin, line.find(' ', begin) - begin);
}

bool IsOneOf(const std::string& event,
             std::initializer_list<const char*> events) {
  return std::any_of(events.begin(), events.end(),
                     [&event](const char* known) { return event == known; });
}

bool IsBelief(const std::string& event) {
  return IsOneOf(
      event, {"server_known", "server_removed", "server_unreachable",
              "server_reachable", "server_gone", "probe_failed", "group_silent",
              "group_recorded", "group_open", "group_closed", "server_limit",
              "server_limit_share", "server_backoff", "server_backoff_ended",
              "server_leaving"});
}

}  // namespace

RequestStory TellRequestStory(const std::vector<std::string>& lines,
                              const std::string& request_id) {
  RequestStory story;
  std::set<std::string> subjects;
  std::size_t end = 0;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (FieldOf(lines[i], "id") != request_id) {
      continue;
    }
    story.decisions.push_back(lines[i]);
    subjects.insert(FieldOf(lines[i], "server"));
    subjects.insert(FieldOf(lines[i], "group"));
    end = i;
  }
  subjects.erase("");
  subjects.erase("\"\"");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const std::string event = FieldOf(lines[i], "event");
    const bool concerns = subjects.count(FieldOf(lines[i], "server")) > 0 ||
                          subjects.count(FieldOf(lines[i], "group")) > 0;
    if (!concerns || !IsBelief(event)) {
      continue;
    }
    if (i < end) {
      story.beliefs.push_back(lines[i]);
    } else if (event == "server_reachable") {
      story.corrections.push_back(lines[i]);
    }
  }
  if (story.beliefs.size() > kShownBeliefs) {
    story.beliefs.erase(story.beliefs.begin(),
                        story.beliefs.end() - kShownBeliefs);
  }
  return story;
}

}  // namespace kumquatcart
