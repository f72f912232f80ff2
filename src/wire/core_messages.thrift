// Thrift types of the plain values of src/core, encoded in the compact
// protocol. After a change, regenerate gen/ from src/wire:
//
//   thrift --gen cpp:no_skeleton,moveable_types -out gen core_messages.thrift
//
// Each struct mirrors a type of src/core. The names here stay as they are if
// the type in src/core is renamed; internal/*_fields.h map one to the other.
// Durations are in microseconds. An unsigned number is stored as the signed
// number with the same bits.
//
// A field that holds an enumerator is declared as i32. The encoding is the
// same, but for a field of the enumeration type the generated C++ would convert
// an unknown number to the enumeration, which is undefined behaviour.
//
// Never reuse a field number for another meaning. A field that a later release
// adds must be optional, and a new kind of message is a new member of its
// union.

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
  1: required i32 kind;  // ObjectKind
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

// ---- src/core/platform_call.h, the calls ----

struct ListObjects {
}

struct WatchObjects {
  1: required i64 since;
  2: required i64 wait_us;
}

struct GetObject {
  1: required ObjectKey key;
}

struct PutObject {
  1: required ObjectKey key;
  2: required i64 expected_version;
  3: required string value;
  4: required string write_id;
}

struct DeleteObject {
  1: required ObjectKey key;
  2: required i64 expected_version;
  3: required string write_id;
}

union PlatformRequest {
  1: ListObjects list_objects;
  2: WatchObjects watch_objects;
  3: GetObject get_object;
  4: PutObject put_object;
  5: DeleteObject delete_object;
}

struct ObjectAnswer {
  1: required Object object;
}

struct VersionConflict {
  1: required Object current;
}

struct PlatformFailure {
  1: required bool outcome_unknown;
}

union PlatformAnswer {
  1: ObjectBatch object_batch;
  2: ObjectAnswer object_answer;
  3: VersionConflict version_conflict;
  4: PlatformFailure platform_failure;
}

// ---- src/core/caller_request.h ----

// A database value as text. An absent text means NULL.
struct Cell {
  1: optional string text;
}

typedef list<Cell> Row

struct Statement {
  1: required string sql;
  2: required list<Cell> parameters;
}

enum Operation {
  STATEMENT = 0,
  BEGIN_TRANSACTION = 1,
  COMMIT = 2,
  ROLLBACK = 3,
}

struct CallerRequest {
  1: required i32 operation;  // Operation
  // The caller's key, as the caller sent it.
  2: required string key;
  3: required string database;
  4: required string profile;
  5: required Statement statement;
  6: required bool read_only;
  7: required string transaction;
  8: optional i64 deadline_us;
  9: required string request_id;
  10: required bool idempotent;
  11: required string session;
  12: optional i64 sequence;
  13: optional i64 max_staleness_us;
}

enum Effect {
  NOT_RUN = 0,
  UNKNOWN = 1,
}

enum RefusalCode {
  INVALID_REQUEST = 0,
  KEY_MISSING = 1,
  KEY_UNKNOWN = 2,
  KEY_WITHDRAWN = 3,
  KEY_UNCONFIRMED = 4,
  NOT_ALLOWED = 5,
  UNKNOWN_DATABASE = 6,
  UNKNOWN_PROFILE = 7,
  UNKNOWN_TRANSACTION = 8,
  DATABASE_LEAVING = 9,
  RATE_EXCEEDED = 10,
  OVERLOADED = 11,
  UNAVAILABLE = 12,
  ZONE_OUT = 13,
  SHUTTING_DOWN = 14,
  DEADLINE_EXCEEDED = 15,
  REJECTED_BY_DATABASE = 16,
  TRANSACTION_ABORTED = 17,
  OUTCOME_UNKNOWN = 18,
}

struct Refusal {
  1: required i32 code;  // RefusalCode
  2: required i32 effect;  // Effect
  3: required string message;
  4: required string field;
  5: optional i64 retry_after_us;
  6: required string session;
}

enum MemberRole {
  PRIMARY = 0,
  REPLICA = 1,
}

struct Served {
  1: required list<string> columns;
  2: required list<Row> rows;
  3: required i64 affected;
  4: required string session;
  5: required string transaction;
  6: required string instance;
  7: required string member;
  8: required i32 role;  // MemberRole
  9: required bool replayed;
}

union CallerAnswer {
  1: Served served;
  2: Refusal refusal;
}

// ---- src/core/database_answer.h and log_position.h ----

struct LogPosition {
  1: required i64 term;
  2: required i64 index;
}

struct TermLineage {
  1: required i64 term;
  2: required i64 start_index;
  3: required i64 previous_term;
}

struct StatementDone {
  1: required list<string> columns;
  2: required list<Row> rows;
  3: required i64 affected;
  4: required LogPosition position;
  5: required i32 role;  // MemberRole
}

enum RejectionKind {
  STATEMENT = 0,
  DUPLICATE_REQUEST = 1,
  NOT_PRIMARY = 2,
}

struct StatementRejected {
  1: required i32 kind;  // RejectionKind
  2: required string sqlstate;
  3: required string message;
}

struct StatementLost {
  1: required bool sent;
}

union StatementOutcome {
  1: StatementDone statement_done;
  2: StatementRejected statement_rejected;
  3: StatementLost statement_lost;
}

struct MemberStatus {
  1: required i64 granted_term;
  2: required LogPosition received;
  3: required i64 applied_index;
  4: required TermLineage lineage;
  5: required i32 role;  // MemberRole
  6: required i64 data_age_us;
}

struct GrantAnswer {
  1: required bool granted;
  2: required i64 granted_term;
  3: required LogPosition received;
}

struct StatusWanted {
}

struct GrantWanted {
  1: required i64 term;
  2: required string candidate;
}

struct PromotionWanted {
  1: required i64 term;
}

struct FollowWanted {
  1: required i64 term;
  2: required string primary;
}

union ControlRequest {
  1: StatusWanted status_wanted;
  2: GrantWanted grant_wanted;
  3: PromotionWanted promotion_wanted;
  4: FollowWanted follow_wanted;
}

struct ControlDone {
  1: required bool done;
}

struct ControlFailed {
  1: required bool refused;
  2: required bool asked;
}

union ControlAnswer {
  1: MemberStatus member_status;
  2: GrantAnswer grant_answer;
  3: ControlDone control_done;
  4: ControlFailed control_failed;
}

// ---- src/core/event.h ----

struct RequestReceived {
  1: required i64 request;
  2: required CallerRequest body;
}

struct CallerGone {
  1: required i64 request;
}

struct ConnectionOpened {
  1: required i64 connection;
}

struct ConnectionClosed {
  1: required i64 connection;
  2: required bool refused;
  3: required bool is_full;
}

struct StatementFinished {
  1: required i64 connection;
  2: required StatementOutcome outcome;
}

struct ControlAnswered {
  1: required i64 call;
  2: required ControlAnswer answer;
}

struct PlatformAnswered {
  1: required i64 call;
  2: required PlatformAnswer answer;
}

struct PeerSender {
  1: required string instance;
  2: required i64 incarnation;
}

struct PeerMessageReceived {
  1: required PeerSender sender;
  2: required PeerMessage message;
}

struct PeerUnreachable {
  1: required string peer;
  2: required bool refused;
  3: required i64 number;
}

struct Tick {
}

struct ShutdownRequested {
}

struct SwitchoverRequested {
  1: required string database;
  2: required string successor;
}

union Event {
  1: RequestReceived request_received;
  2: CallerGone caller_gone;
  3: ConnectionOpened connection_opened;
  4: ConnectionClosed connection_closed;
  5: StatementFinished statement_finished;
  6: ControlAnswered control_answered;
  7: PlatformAnswered platform_answered;
  8: PeerMessageReceived peer_message_received;
  9: PeerUnreachable peer_unreachable;
  10: Tick tick;
  11: ShutdownRequested shutdown_requested;
  12: SwitchoverRequested switchover_requested;
}

// ---- src/core/action.h, configuration.h and timeline_event.h ----

struct AnswerRequest {
  1: required i64 request;
  2: required CallerAnswer answer;
}

struct Member {
  1: required string id;
  2: required string address;
  3: required string zone;
}

struct OpenConnection {
  1: required i64 connection;
  2: required string database;
  3: required Member member;
}

struct CloseConnection {
  1: required i64 connection;
}

enum TransactionStep {
  AUTOCOMMIT = 0,
  BEGIN_TRANSACTION = 1,
  IN_TRANSACTION = 2,
  COMMIT = 3,
  ROLLBACK = 4,
}

struct RunStatement {
  1: required i64 connection;
  2: required i32 step;  // TransactionStep
  3: required Statement statement;
  4: required bool read_only;
  5: required string request_id;
  6: required string customer;
}

struct CallMember {
  1: required i64 call;
  2: required string database;
  3: required Member member;
  4: required i64 connection;
  5: required ControlRequest request;
}

struct CallPlatform {
  1: required i64 call;
  2: required PlatformRequest request;
}

struct SendToPeer {
  1: required string peer;
  2: required string address;
  3: required PeerMessage message;
}

enum TimelineKind {
  REQUEST_RECEIVED = 0,
  REQUEST_ANSWERED = 1,
  REQUEST_REFUSED = 2,
  PRIMARY_SUSPECTED = 3,
  TERM_GRANTED = 4,
  TERM_REFUSED = 5,
  PRIMARY_PROMOTED = 6,
  PRIMARY_LEARNED = 7,
  CONFIGURATION_INSTALLED = 8,
  CONFIGURATION_REFUSED = 9,
  PLATFORM_LOST = 10,
  PLATFORM_REACHED = 11,
  LEASE_RENEWED = 12,
  LEASE_LAPSED = 13,
  LEASE_RECLAIMED = 14,
  SHARE_CHANGED = 15,
  CREDIT_LENT = 16,
  CREDIT_RECEIVED = 17,
  CONNECTION_OPENED = 18,
  CONNECTION_CLOSED = 19,
  ZONE_LEFT = 20,
  ZONE_RETURNED = 21,
  SHUTDOWN_STARTED = 22,
  SHUTDOWN_FINISHED = 23,
  PEER_LOST = 24,
  PEER_REACHED = 25,
}

struct TimelineEvent {
  1: required i64 sequence;
  // Time on the engine's monotonic clock.
  2: required i64 time_us;
  3: required i32 kind;  // TimelineKind
  4: required i64 request;
  5: required string request_id;
  6: required string customer;
  7: required string database;
  8: required string zone;
  9: required string peer;
  10: required i64 term;
  11: required i64 revision;
  12: required string detail;
}

struct RecordEvent {
  1: required TimelineEvent event;
}

struct SetReadiness {
  1: required bool ready;
}

struct StopProcess {
}

union Action {
  1: AnswerRequest answer_request;
  2: OpenConnection open_connection;
  3: CloseConnection close_connection;
  4: RunStatement run_statement;
  5: CallMember call_member;
  6: CallPlatform call_platform;
  7: SendToPeer send_to_peer;
  8: RecordEvent record_event;
  9: SetReadiness set_readiness;
  10: StopProcess stop_process;
}
