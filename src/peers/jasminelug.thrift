// Messages between the daemons, in the compact protocol inside frames of a
// four-byte big-endian length. Regenerate gen/ after a change, from src/peers:
//
//   thrift --gen cpp:no_skeleton,moveable_types -out gen jasminelug.thrift
//
// A field's number is never used again for another meaning. A new kind of
// message is a new struct and a new member of Body; a receiver that does not
// know the member drops the message and keeps the connection.

namespace cpp jasminelug.peers.wire

// First message on a connection: who sends, and where it listens.
struct Hello {
  1: string zone;
  2: string address;
}

// Bytes whose meaning the receiver looks up by their kind.
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
