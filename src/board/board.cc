#include "board/board.h"

#include <utility>

namespace kumquatcart {

Board::Board(NodeIdentity identity) : identity(std::move(identity)) {}

}  // namespace kumquatcart
