// Identifier of a routing target.
#ifndef ROUTING_BACKEND_ID_H_
#define ROUTING_BACKEND_ID_H_

#include "base/ids.h"

namespace kumquatcart {

// The id of a replica group or of a plain service VM.
using BackendId = StrongId<struct BackendIdTag>;

}  // namespace kumquatcart

#endif  // ROUTING_BACKEND_ID_H_
