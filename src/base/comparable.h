// Comparison operators for value types.
//
// A value type that lists its fields in a member `auto Tie() const` gets all
// six comparison operators, which argument-dependent lookup finds in this
// namespace.
#ifndef BASE_COMPARABLE_H_
#define BASE_COMPARABLE_H_

#include <tuple>
#include <utility>

namespace kumquatcart {

template <class T, class = decltype(std::declval<const T&>().Tie())>
bool operator==(const T& left, const T& right) {
  return left.Tie() == right.Tie();
}

template <class T, class = decltype(std::declval<const T&>().Tie())>
bool operator!=(const T& left, const T& right) {
  return !(left == right);
}

template <class T, class = decltype(std::declval<const T&>().Tie())>
bool operator<(const T& left, const T& right) {
  return left.Tie() < right.Tie();
}

template <class T, class = decltype(std::declval<const T&>().Tie())>
bool operator>(const T& left, const T& right) {
  return right < left;
}

template <class T, class = decltype(std::declval<const T&>().Tie())>
bool operator<=(const T& left, const T& right) {
  return !(right < left);
}

template <class T, class = decltype(std::declval<const T&>().Tie())>
bool operator>=(const T& left, const T& right) {
  return !(left < right);
}

}  // namespace kumquatcart

#endif  // BASE_COMPARABLE_H_
