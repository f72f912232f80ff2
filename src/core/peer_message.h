#ifndef SRC_CORE_PEER_MESSAGE_H_
#define SRC_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/platform_call.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Identifies the allowance of one customer under one profile.
struct AllowanceKey {
  CustomerName m_customer;
  ProfileName m_profile;

  friend auto operator<=>(const AllowanceKey&, const AllowanceKey&) = default;
};

// Sent to every peer at a regular interval. An answer repeats the number of the
// heartbeat that it answers, which tells the receiver the earliest time at
// which the answer can have been sent.
struct Heartbeat {
  uint64_t m_number = 0;
  // Number of the heartbeat that this one answers; 0 if it is not an answer.
  uint64_t m_answers = 0;
  // Address at which the sender accepts messages, so that peers can answer an
  // instance that could not register with the platform. May be empty.
  Address m_address;
  ZoneName m_zone;
  // Revision of the configuration that the sender has installed.
  Revision m_revision;
  // Time since the sender's configuration was last confirmed by the platform,
  // directly or through peers; nullopt if never in this incarnation.
  std::optional<Duration> m_platform_age;
  // True if the sender itself is in contact with the platform.
  bool m_platform_reachable = false;
  bool m_draining = false;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Requests the objects that changed after a revision from a peer.
struct ObjectsRequest {
  Revision m_since;

  friend bool operator==(const ObjectsRequest&,
                         const ObjectsRequest&) = default;
};

// Relays objects as read from the platform: all that changed after `m_since`,
// or every object if `m_since` is 0. A large set of objects is sent in several
// parts with the same `m_since` and revision. Parts can be used only when all
// of them have arrived.
struct RelayedObjects {
  Revision m_since;
  ObjectBatch m_batch;
  // Index of this part, starting at 0, and the number of parts.
  uint32_t m_part = 0;
  uint32_t m_parts = 1;

  friend bool operator==(const RelayedObjects&,
                         const RelayedObjects&) = default;
};

// Requests credit of an allowance from a peer. `m_number` is unique within the
// sender's incarnation. The sender accepts an answer only for the number of its
// latest request.
struct CreditRequest {
  uint64_t m_number = 0;
  AllowanceKey m_allowance;
  // In thousandths of a statement.
  uint64_t m_millicredits = 0;

  friend bool operator==(const CreditRequest&, const CreditRequest&) = default;
};

// Transfers credit that the sender has already deducted from its own account.
struct CreditTransfer {
  uint64_t m_number = 0;
  AllowanceKey m_allowance;
  uint64_t m_millicredits = 0;

  friend bool operator==(const CreditTransfer&,
                         const CreditTransfer&) = default;
};

// Requests a lease extension from a member of the cell of the sender's lease. A
// member that grants it will not let the lease be reclaimed for a while.
struct LeaseExtensionRequest {
  uint64_t m_number = 0;
  // Latest version of the sender's lease object that the sender knows.
  uint64_t m_lease_version = 0;

  friend bool operator==(const LeaseExtensionRequest&,
                         const LeaseExtensionRequest&) = default;
};

struct LeaseExtensionAnswer {
  uint64_t m_number = 0;
  bool m_granted = false;

  friend bool operator==(const LeaseExtensionAnswer&,
                         const LeaseExtensionAnswer&) = default;
};

// Requests from a member of the cell of `m_holder`'s lease that it grants no
// more extensions for versions of the lease up to `m_lease_version`.
struct LeaseRevocationRequest {
  uint64_t m_number = 0;
  InstanceId m_holder;
  Incarnation m_holder_incarnation;
  uint64_t m_lease_version = 0;

  friend bool operator==(const LeaseRevocationRequest&,
                         const LeaseRevocationRequest&) = default;
};

struct LeaseRevocationAnswer {
  uint64_t m_number = 0;
  InstanceId m_holder;
  bool m_granted = false;

  friend bool operator==(const LeaseRevocationAnswer&,
                         const LeaseRevocationAnswer&) = default;
};

// The sender's state of a database group. Sent when the sender learns of a new
// primary, and as the answer to a PrimarySuspicion.
struct GroupReport {
  DatabaseName m_database;
  Term m_term;
  MemberId m_primary;
  // Time since that primary last answered the sender; nullopt if it never did.
  std::optional<Duration> m_primary_age;

  friend bool operator==(const GroupReport&, const GroupReport&) = default;
};

// Asks peers whether they have lost contact with the primary of a database
// group as well.
struct PrimarySuspicion {
  DatabaseName m_database;
  Term m_term;

  friend bool operator==(const PrimarySuspicion&,
                         const PrimarySuspicion&) = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 ObjectsRequest,
                                 RelayedObjects,
                                 CreditRequest,
                                 CreditTransfer,
                                 LeaseExtensionRequest,
                                 LeaseExtensionAnswer,
                                 LeaseRevocationRequest,
                                 LeaseRevocationAnswer,
                                 GroupReport,
                                 PrimarySuspicion>;

// Identifies the sender of a message. The receiver drops messages of an older
// incarnation.
struct PeerSender {
  InstanceId m_instance;
  Incarnation m_incarnation;

  friend auto operator<=>(const PeerSender&, const PeerSender&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_PEER_MESSAGE_H_
