#ifndef JASMINELUG_GOSSIP_H_
#define JASMINELUG_GOSSIP_H_

// Messages between gateways: reports, one per datagram, forwarded operations,
// and copies of the store's objects.

#include "src/gossip/codec_error.h"
#include "src/gossip/datagram_socket.h"
#include "src/gossip/forward_codec.h"
#include "src/gossip/report_codec.h"
#include "src/gossip/state_codec.h"

#endif  // JASMINELUG_GOSSIP_H_
