// Membership test for short lists.
#ifndef BASE_CONTAINS_H_
#define BASE_CONTAINS_H_

#include <algorithm>
#include <vector>

namespace kumquatcart {

// Linear in the length of `list`. Thread safe as long as `list` is not modified
// concurrently.
template <typename Value>
bool Contains(const std::vector<Value>& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace kumquatcart

#endif  // BASE_CONTAINS_H_
