// The answer that a stand-in engine gives to a prompt.
#ifndef COMMON_EXPECTED_ANSWER_H_
#define COMMON_EXPECTED_ANSWER_H_

#include <string>

namespace kumquatcart::tools {

// Token `index` of the answer to `prompt`, with its trailing space. The load
// tool computes the same to check that an answer is whole and its own.
std::string ExpectedToken(const std::string& prompt, int index);

// The first `tokens` tokens, joined.
std::string ExpectedAnswer(const std::string& prompt, int tokens);

}  // namespace kumquatcart::tools

#endif  // COMMON_EXPECTED_ANSWER_H_
