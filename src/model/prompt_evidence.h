// Evidence about parts of prompts that crash backend servers.
#ifndef MODEL_PROMPT_EVIDENCE_H_
#define MODEL_PROMPT_EVIDENCE_H_

#include <string>
#include <vector>

namespace kumquatcart {

// Identifies a part of a prompt that requests share.
using PromptPart = std::string;
// In ascending order, each once.
using PromptParts = std::vector<PromptPart>;

}  // namespace kumquatcart

#endif  // MODEL_PROMPT_EVIDENCE_H_
