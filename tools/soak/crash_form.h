// When servers end under the crashing prompts.
#ifndef SOAK_CRASH_FORM_H_
#define SOAK_CRASH_FORM_H_

#include <map>
#include <string>

namespace kumquatcart::soak {

enum class CrashForm {
  kWithin,        // After the head, within an event or after it.
  kBeforeHead,    // At once, before a byte of the answer.
  kAfterWhole,    // Some time after the end of the answer.
  kAfterLeaving,  // Within the answer, after the caller has left.
  kSilent,  // Within the answer; connections stay open, new ones are refused.
};

// By the names on the command line.
inline const std::map<std::string, CrashForm>& CrashForms() {
  static const std::map<std::string, CrashForm> forms{
      {"within", CrashForm::kWithin},
      {"before-head", CrashForm::kBeforeHead},
      {"after-whole", CrashForm::kAfterWhole},
      {"after-leaving", CrashForm::kAfterLeaving},
      {"silent", CrashForm::kSilent}};
  return forms;
}

}  // namespace kumquatcart::soak

#endif  // SOAK_CRASH_FORM_H_
