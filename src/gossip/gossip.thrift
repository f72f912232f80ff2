// Messages between gateways, in the compact protocol: reports, one to a
// datagram, and forwarded operations, over connections.
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

struct Position {
  1: i64 term;
  2: i64 index;
}

struct Shape {
  1: i32 access;
  2: string text;
}

struct Route {
  1: string group;
  2: i32 consistency;
  3: i64 max_staleness_us;
  4: i64 statement_timeout_us;
  5: i64 objective_us;
  6: i32 priority;
  7: bool is_public;
}

struct Statement {
  1: string id;
  2: i32 kind;
  3: binary text;
  4: string name;
  5: binary argument;
  6: Shape prepared;
}

struct Commit {
  1: i64 age_us;
  2: Position position;
}

struct ForwardedStatement {
  1: i64 operation;
  2: bool begins;
  3: i32 transaction;
  4: string customer;
  5: Route route;
  6: Statement statement;
  7: map<string, binary> values;
  8: optional Commit last_commit;
}

struct Completed {
  1: list<binary> rows;
  2: string signature;
}

struct Refused {
  1: i32 code;
  2: string message;
  3: bool try_elsewhere;
}

union Outcome {
  1: Completed completed;
  2: Refused refused;
}

struct ForwardedAnswer {
  1: i64 operation;
  2: Outcome outcome;
  3: i32 state;
  4: optional Position position;
}

struct ForwardedEnd {
  1: i64 operation;
}

struct ForwardPing {
}

struct ForwardProgress {
  1: list<i64> operations;
}

union ForwardMessage {
  1: ForwardedStatement statement;
  2: ForwardedAnswer answer;
  3: ForwardedEnd ended;
  4: ForwardPing ping;
  5: ForwardProgress progress;
}
