// Messages between gateways in the compact protocol. Reports are sent in
// datagrams, one report in each; messages about forwarded operations and about
// copies of the store's objects are sent over connections.
//
// After a change, regenerate gen/ in the folder src/gossip:
//
//   thrift --gen cpp:no_skeleton,moveable_types -out gen gossip.thrift
//
// The number of a removed field must not be reused for another meaning. Fields
// whose names end in _us are durations in microseconds.

namespace cpp jasminelug.gossip.wire

// Identifies the newest report that the sender has received from another
// instance.
struct Echo {
  1: string instance;
  2: i64 incarnation;
  3: i64 sequence;
  // Time between the arrival of that report and this message.
  4: i64 held_us;
}

// A customer's operations that reached the sender recently.
struct Demand {
  1: string customer;
  // Includes refused operations.
  2: double operations_per_second;
  3: double admitted_per_second;
}

// Sample of the position of a primary's log, with its age when the report was
// sent.
struct Sample {
  1: string group;
  2: i64 age_us;
  3: i64 term;
  4: i64 index;
}

// Revision that the sender has verified to be current in the store, with the
// age of that verification when the report was sent.
struct Proof {
  1: i64 revision;
  2: i64 age_us;
}

// Number of instances of a cell that can, or cannot, reach a group's primary.
struct Opinions {
  1: string group;
  2: i32 reachable;
  3: i32 unreachable;
}

// Summary of the reports of one cell, which is an availability zone.
struct Cell {
  1: string zone;
  2: list<Demand> demand;
  3: list<Opinions> opinions;
  // Newest revision of the replacement record that all instances of the cell
  // have acknowledged.
  4: i64 acknowledged;
  // Revision of the store up to which the sender knows the instances of the
  // cell.
  5: i64 instances;
}

// Revisions of the sender's copy of one kind of the store's objects.
struct Copy {
  1: i32 kind;
  // Revision at which the copy was last changed.
  2: i64 changed;
  // Revision up to which the copy contains all changes.
  3: i64 complete;
}

// Load of a customer at all instances but the receiver.
struct Load {
  1: string customer;
  // Operations per second.
  2: double demand;
  3: double admitted;
  // Fraction of the limits that is divided among the live instances.
  4: double available;
  // Number of live holders, including the receiver if it is one.
  5: i32 live_holders;
}

// State of the fleet without the receiver.
struct Summary {
  // Whether all instances have reported recently.
  1: bool complete;
  2: list<Load> loads;
  3: list<Opinions> opinions;
}

// State that an instance reports to its peers several times a second.
struct Report {
  1: string sender;
  2: i64 incarnation;
  3: i64 sequence;
  4: list<Echo> echoes;
  5: list<Demand> demand;
  6: list<Sample> samples;
  // Groups whose primary the sender cannot reach.
  7: list<string> unreachable;
  // Groups whose primary answered the sender recently.
  8: list<string> reachable;
  // Revision of the replacement record that the sender has acknowledged.
  9: i64 acknowledged;
  // Verified revisions of the configuration and of the replacement record.
  // Unset until the first verification.
  10: optional Proof configuration;
  11: optional Proof replacements;
  // In reports to another cell: the summary of the sender's cell.
  12: list<Cell> cells;
  // Address at which the sender accepts messages of other instances.
  13: string address;
  14: list<Copy> copies;
  // Whether the sender is a head of its cell.
  15: bool is_head;
  // In reports of a head to the other instances of its cell.
  16: optional Summary summary;
}

// Position in a database group's log.
struct Position {
  1: i64 term;
  2: i64 index;
}

// Access and text of a prepared statement.
struct Shape {
  1: i32 access;
  2: string text;
}

// Settings under which the statements of a database are served.
struct Route {
  1: string group;
  2: i32 consistency;
  3: i64 max_staleness_us;
  4: i64 statement_timeout_us;
  5: i64 objective_us;
  // 0 is the highest priority.
  6: i32 priority;
  // Whether callers without a key may use the route.
  7: bool is_public;
}

// Statement as the caller sent it.
struct Statement {
  1: string id;
  2: i32 kind;
  3: binary text;
  4: string name;
  5: binary argument;
  6: Shape prepared;
}

// Last commit of the session, with its age when the message was sent.
struct Commit {
  1: i64 age_us;
  2: Position position;
}

// Statement that the sender forwards to the receiver, which is to run it.
struct ForwardedStatement {
  1: i64 operation;
  // Whether this is the first statement of its operation.
  2: bool begins;
  3: i32 transaction;
  4: string customer;
  // Route in the configuration of the sender. The statement timeout and the
  // objective are reduced to the time that remains.
  5: Route route;
  6: Statement statement;
  // Session values.
  7: map<string, binary> values;
  8: optional Commit last_commit;
  // Number of the statement within its operation, from 1.
  9: optional i32 number;
}

// Result of a statement. The signature is that of the member.
struct Completed {
  1: list<binary> rows;
  2: string signature;
}

// Refusal or error of a statement that has no result.
struct Refused {
  1: i32 code;
  2: string message;
  // The statement was not run here, and another instance may be able to run it.
  3: bool try_elsewhere;
}

union Outcome {
  1: Completed completed;
  2: Refused refused;
}

// Answer to a forwarded statement.
struct ForwardedAnswer {
  1: i64 operation;
  2: Outcome outcome;
  3: i32 state;
  4: optional Position position;
  // Number of the statement, if it has one.
  5: optional i32 number;
}

// Ends a forwarded operation.
struct ForwardedEnd {
  1: i64 operation;
}

// Asks for a ForwardProgress message.
struct ForwardPing {
}

// Lists the operations of the receiver that the sender is still running.
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

// Object that the receiver's copy contains at this revision.
struct KnownObject {
  1: string name;
  2: i64 revision;
}

// Requests the changes that the sender's copy of one kind lacks.
struct StateRequest {
  1: i32 kind;
  // Revision at which the sender's copy was last changed; 0 if it has none.
  2: i64 changed;
  3: list<KnownObject> known;
  // Number of the request, which no other run of any instance uses.
  4: optional i64 number;
}

// Difference between the copy of the requester and that of the sender.
struct StateUpdate {
  1: i32 kind;
  // Revision of the requester's copy, to which the update applies.
  2: i64 base;
  // Revision of the sender's copy.
  3: i64 changed;
  // Objects in the form in which the store sent them.
  4: list<binary> objects;
  5: list<string> removed;
  // Time since the sender's copy was last verified.
  6: optional i64 age_us;
  // Number of the request, if it has one.
  7: optional i64 number;
}

union StateMessage {
  1: StateRequest request;
  2: StateUpdate update;
}
