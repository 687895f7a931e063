// Membership of a value in a short list.
#ifndef BASE_CONTAINS_H_
#define BASE_CONTAINS_H_

#include <algorithm>
#include <vector>

namespace kumquatcart {

// Linear in the list's length. Thread safe for lists that do not change.
template <typename Value>
bool Contains(const std::vector<Value>& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace kumquatcart

#endif  // BASE_CONTAINS_H_
