// Thrift forms of the core's plain values, in the compact protocol. Regenerate
// gen/ after a change, from src/wire:
//
//   thrift --gen cpp:no_skeleton,moveable_types,pure_enums=enum_class \
//       -out gen core_messages.thrift
//
// Each struct mirrors the one of its name in src/core; durations are in
// microseconds, and unsigned numbers are carried by their bits. A field's
// number is never used again for another meaning. A field that a later release
// adds is optional, and a new kind of message is a new member of its union.

namespace cpp jasminelug.wire.generated

// ---- src/core/platform_call.h ----

enum ObjectKind {
  PROFILE = 0,
  CUSTOMER = 1,
  KEY = 2,
  ZONE = 3,
  DATABASE = 4,
  INSTANCE = 5,
  SHARE = 6,
  GROUP = 7,
}

struct ObjectKey {
  1: required ObjectKind kind;
  2: required string name;
}

struct Object {
  1: required ObjectKey key;
  2: required i64 version;
  3: required i64 revision;
  4: required string value;
  5: required bool deleted;
  6: required string write_id;
}

struct ObjectBatch {
  1: required i64 revision;
  2: required list<Object> objects;
  3: required bool must_list;
}

// ---- src/core/peer_message.h ----

struct AllowanceKey {
  1: required string customer;
  2: required string profile;
}

struct Heartbeat {
  1: required i64 number;
  2: required i64 answers;
  3: required string address;
  4: required string zone;
  5: required i64 revision;
  6: optional i64 platform_age_us;
  7: required bool platform_reachable;
  8: required bool draining;
}

struct ObjectsWanted {
  1: required i64 since;
}

struct ObjectsRelayed {
  1: required i64 since;
  2: required ObjectBatch batch;
  3: required i32 part;
  4: required i32 parts;
}

struct CreditWanted {
  1: required i64 number;
  2: required AllowanceKey allowance;
  3: required i64 millicredits;
}

struct CreditLent {
  1: required i64 number;
  2: required AllowanceKey allowance;
  3: required i64 millicredits;
}

struct VouchWanted {
  1: required i64 number;
  2: required i64 lease_version;
}

struct Vouched {
  1: required i64 number;
  2: required bool granted;
}

struct DenialWanted {
  1: required i64 number;
  2: required string holder;
  3: required i64 holder_incarnation;
  4: required i64 lease_version;
}

struct Denied {
  1: required i64 number;
  2: required string holder;
  3: required bool granted;
}

struct GroupReport {
  1: required string database;
  2: required i64 term;
  3: required string primary;
  4: optional i64 primary_age_us;
}

struct SuspicionRaised {
  1: required string database;
  2: required i64 term;
}

union PeerMessage {
  1: Heartbeat heartbeat;
  2: ObjectsWanted objects_wanted;
  3: ObjectsRelayed objects_relayed;
  4: CreditWanted credit_wanted;
  5: CreditLent credit_lent;
  6: VouchWanted vouch_wanted;
  7: Vouched vouched;
  8: DenialWanted denial_wanted;
  9: Denied denied;
  10: GroupReport group_report;
  11: SuspicionRaised suspicion_raised;
}
