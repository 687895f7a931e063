// Evidence about parts of prompts that crash backend servers.
#ifndef MODEL_PROMPT_EVIDENCE_H_
#define MODEL_PROMPT_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "model/answer_extent.h"

namespace kumquatcart {

// Identifies a part of a prompt that requests share.
using PromptPart = std::string;
// In ascending order, each once.
using PromptParts = std::vector<PromptPart>;

// The end of a server that had begun to answer a request.
struct PromptCrash {
  std::uint64_t id = 0;  // Drawn at random by the VM that sent the request.
  std::string server;
  std::int64_t started_ms = 0;  // Unix time of its start; 0 if unknown.
  bool was_trial = false;       // The request was the trial of its parts.
  PromptParts parts;            // Of the request.
  int events = 0;               // That the server had written.

  auto Tie() const {
    return std::tie(this->id, this->server, this->started_ms, this->was_trial,
                    this->parts, this->events);
  }
};

// A crash and the time since it was observed.
struct AgedPromptCrash {
  PromptCrash crash;
  std::int64_t age_ms = 0;

  auto Tie() const { return std::tie(this->crash, this->age_ms); }
};

// What a node sends to its peers. Ages instead of times, since the nodes do not
// share a clock.
struct PromptEvidence {
  std::string node;
  bool is_reply = false;  // Sent because the receiver lacked it.
  std::vector<AgedPromptCrash> crashes;
  // Time since the latest run that reached an extent, and since the latest
  // refusal of a request with the part, for parts that have crashes.
  std::map<PromptPart, std::map<AnswerExtent, std::int64_t>> sound_age_ms;
  std::map<PromptPart, std::int64_t> refusal_age_ms;
  // All trials in progress at the node, and how long they may still last.
  std::map<PromptPart, std::int64_t> trial_left_ms;

  auto Tie() const {
    return std::tie(this->node, this->is_reply, this->crashes,
                    this->sound_age_ms, this->refusal_age_ms,
                    this->trial_left_ms);
  }
};

}  // namespace kumquatcart

#endif  // MODEL_PROMPT_EVIDENCE_H_
