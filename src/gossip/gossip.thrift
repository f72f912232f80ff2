// Reports between gateways, in the compact protocol, one to a datagram.
// Regenerate gen/ after a change, from src/gossip:
//
//   thrift --gen cpp:no_skeleton,moveable_types -out gen gossip.thrift
//
// A field's number is never used again for another meaning. Times are in
// microseconds.

namespace cpp jasminelug.gossip.wire

struct Echo {
  1: string instance;
  2: i64 incarnation;
  3: i64 sequence;
  4: i64 held_us;
}

struct Demand {
  1: string customer;
  2: double operations_per_second;
  3: double admitted_per_second;
}

struct Sample {
  1: string group;
  2: i64 age_us;
  3: i64 term;
  4: i64 index;
}

struct Proof {
  1: i64 revision;
  2: i64 age_us;
}

struct Opinions {
  1: string group;
  2: i32 reachable;
  3: i32 unreachable;
}

struct Cell {
  1: string zone;
  2: list<Demand> demand;
  3: list<Opinions> opinions;
  4: i64 acknowledged;
}

struct Report {
  1: string sender;
  2: i64 incarnation;
  3: i64 sequence;
  4: list<Echo> echoes;
  5: list<Demand> demand;
  6: list<Sample> samples;
  7: list<string> unreachable;
  8: list<string> reachable;
  9: i64 acknowledged;
  10: optional Proof configuration;
  11: optional Proof replacements;
  12: list<Cell> cells;
}
