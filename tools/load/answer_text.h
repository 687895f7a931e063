// Reads the text and the outcome out of JSON answers.
#ifndef LOAD_ANSWER_TEXT_H_
#define LOAD_ANSWER_TEXT_H_

#include <string>
#include <string_view>

namespace kumquatcart::load {

// The generated text of a completion or of one piece of it; empty when there is
// none.
std::string TextOfAnswer(std::string_view json);

// The outcome named by an error body; empty when there is none.
std::string OutcomeOfError(std::string_view json);

// One top-level text field of an object; empty when there is none.
std::string FieldOf(std::string_view json, const std::string& name);

}  // namespace kumquatcart::load

#endif  // LOAD_ANSWER_TEXT_H_
