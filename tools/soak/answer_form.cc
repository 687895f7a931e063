#include "soak/answer_form.h"

#include <iterator>
#include <random>

#include "soak/expected_answer.h"

namespace kumquatcart::soak {

namespace {

// One stream in so many breaks off by itself.
constexpr int kBreaksOneIn = 16;
constexpr const char* kLineEnds[] = {"\n", "\r\n", "\r"};
constexpr BreakEnd kBreakEnds[] = {BreakEnd::kFramed, BreakEnd::kClosed,
                                   BreakEnd::kReset};

}  // namespace

AnswerForm DrawAnswerForm(const std::string& server,
                          const std::string& request_id) {
  const std::string text = server + " " + request_id;
  std::seed_seq seed(text.begin(), text.end());
  std::minstd_rand generator(seed);
  const auto draw = [&generator](int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(generator);
  };
  AnswerForm form;
  form.ends_with_connection = draw(2) == 0;
  form.line_end = kLineEnds[draw(std::size(kLineEnds))];
  form.splits_events = true;
  form.break_end = BreakEnd::kFramed;
  if (draw(kBreaksOneIn) == 0) {
    form.breaks_after = 1 + draw(kStreamEvents - 1);
    form.break_end = kBreakEnds[draw(std::size(kBreakEnds))];
  }
  return form;
}

}  // namespace kumquatcart::soak
