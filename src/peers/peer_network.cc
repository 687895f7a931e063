#include "peers/peer_network.h"
