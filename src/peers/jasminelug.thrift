// Messages between daemons. Each is encoded in the compact protocol and
// preceded by its length as four big-endian bytes. After a change, regenerate
// gen/ from src/peers:
//
//   thrift --gen cpp:no_skeleton,moveable_types -out gen jasminelug.thrift
//
// Never reuse a field number for another meaning. To add a kind of message,
// add a struct and a member of Body; a receiver that does not know the member
// drops the message and keeps the connection.

namespace cpp jasminelug.peers.wire

// First message on a connection: the sender's availability zone and the address
// at which it accepts connections.
struct Hello {
  1: string zone;
  2: string address;
}

// A payload that the receiver decodes according to its kind.
struct Opaque {
  1: string kind;
  2: binary payload;
}

union Body {
  1: Hello hello;
  2: Opaque opaque;
}

struct Envelope {
  1: string sender_instance;
  2: i64 sender_incarnation;
  3: i64 configuration_version;
  4: i64 sequence;
  5: Body body;
}
