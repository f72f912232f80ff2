#ifndef JASMINELUG_GOSSIP_H_
#define JASMINELUG_GOSSIP_H_

// Reports between gateways, one to a datagram.

#include "src/gossip/datagram_peers.h"
#include "src/gossip/report_codec.h"

#endif  // JASMINELUG_GOSSIP_H_
