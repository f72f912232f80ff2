#ifndef JASMINELUG_PEERS_H_
#define JASMINELUG_PEERS_H_

// Messages between the daemons, encoded in Thrift's compact protocol and sent
// in frames over TCP.

#include "src/peers/codec.h"
#include "src/peers/envelope.h"
#include "src/peers/error.h"
#include "src/peers/options.h"
#include "src/peers/peer_address.h"
#include "src/peers/peer_network.h"
#include "src/peers/tls.h"

#endif  // JASMINELUG_PEERS_H_
