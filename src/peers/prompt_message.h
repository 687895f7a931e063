// Evidence about parts of prompts in messages between entry VMs.
#ifndef PEERS_PROMPT_MESSAGE_H_
#define PEERS_PROMPT_MESSAGE_H_

#include <optional>
#include <string>

#include "base/outcome.h"
#include "model/prompt_evidence.h"

namespace kumquatcart {

// Encodes as CBOR. Thread safe.
std::string EncodePromptEvidence(const PromptEvidence& evidence);

// None if `bytes` is a message of another kind. Errors: kInvalidArgument for
// one that is malformed or exceeds the bounds of a message. Thread safe.
std::optional<Result<PromptEvidence>> DecodePromptEvidence(
    const std::string& bytes);

}  // namespace kumquatcart

#endif  // PEERS_PROMPT_MESSAGE_H_
