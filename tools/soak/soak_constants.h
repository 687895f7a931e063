// What the parts of a soak agree on.
#ifndef SOAK_SOAK_CONSTANTS_H_
#define SOAK_SOAK_CONSTANTS_H_

namespace kumquatcart::soak {

// Addresses on loopback; processes have others of their own.
constexpr char kPlatformHost[] = "127.0.1.1";
constexpr char kServersHost[] = "127.0.1.2";

// Host of every route, and the key of every caller.
constexpr char kRouteHost[] = "soak.example";
constexpr char kCallerKey[] = "key-1";

}  // namespace kumquatcart::soak

#endif  // SOAK_SOAK_CONSTANTS_H_
