// Accounts for answers of servers that are buffered until they are complete.
#ifndef ENTRY_ANSWER_BUFFER_USE_H_
#define ENTRY_ANSWER_BUFFER_USE_H_

#include <cstddef>

#include "entry/entry_constants.h"

namespace kumquatcart {

// The share of one attempt in `total`, the bytes buffered by all attempts of
// the process. Not thread safe.
class AnswerBufferUse {
 public:
  // `limit`: largest sum. Precondition: `total` outlives this object.
  explicit AnswerBufferUse(std::size_t* total,
                           std::size_t limit = kMaxAllBufferedAnswerBytes)
      : total(total), limit(limit) {}
  ~AnswerBufferUse() { *this->total -= this->bytes; }
  AnswerBufferUse(const AnswerBufferUse&) = delete;
  AnswerBufferUse& operator=(const AnswerBufferUse&) = delete;

  // Sets the bytes that the attempt buffers. Returns false if these exceed the
  // limit of one answer, or the sum exceeds that of all and the answer is not a
  // small one.
  bool Set(std::size_t buffered) {
    *this->total = *this->total - this->bytes + buffered;
    this->bytes = buffered;
    return buffered <= kMaxBufferedAnswerBytes &&
           (buffered <= kSmallAnswerBytes || *this->total <= this->limit);
  }

 private:
  std::size_t* const total;
  const std::size_t limit;
  std::size_t bytes = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_ANSWER_BUFFER_USE_H_
