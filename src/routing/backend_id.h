// Name of a routing target.
#ifndef ROUTING_BACKEND_ID_H_
#define ROUTING_BACKEND_ID_H_

#include "base/ids.h"

namespace kumquatcart {

// A replica group's id, or a plain service VM's id.
using BackendId = StrongId<struct BackendIdTag>;

}  // namespace kumquatcart

#endif  // ROUTING_BACKEND_ID_H_
