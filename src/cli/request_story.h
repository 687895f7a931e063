// Picks out of a log what happened to one request.
#ifndef CLI_REQUEST_STORY_H_
#define CLI_REQUEST_STORY_H_

#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// Log lines in their order in the log.
struct RequestStory {
  std::vector<std::string> decisions;  // Lines about the request itself.
  // Lines before its end about the servers and groups that it was sent to.
  std::vector<std::string> beliefs;
  // Lines after its end that take one of those beliefs back.
  std::vector<std::string> corrections;

  auto Tie() const {
    return std::tie(this->decisions, this->beliefs, this->corrections);
  }
};

// Reads the lines that one or several entry VMs wrote as key=value pairs.
// Thread safe.
RequestStory TellRequestStory(const std::vector<std::string>& lines,
                              const std::string& request_id);

}  // namespace kumquatcart

#endif  // CLI_REQUEST_STORY_H_
