#ifndef SRC_CORE_FRESHNESS_H_
#define SRC_CORE_FRESHNESS_H_

#include <map>
#include <optional>

#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Maximum time between the acceptance of a key's withdrawal and the last use
// of the key. docs/design/configuration.md describes the exceptions.
inline constexpr Duration kKeyFreshnessBound = 2s;

// Tracks how current this instance's configuration is: the latest time at which
// the instance had every accepted change, and whether the platform is
// unreachable for all instances.
class Freshness {
 public:
  // The platform confirmed, in an answer to a call made at `sent`, that this
  // instance had every accepted change.
  void OnPlatformConfirmed(Time sent);

  // This instance has installed every change up to `revision`.
  void OnInstalled(Revision revision);

  // A peer answered the heartbeat that was sent to it at `sent`.
  void OnPeerAnswer(const PeerSender& peer, Time sent, const Heartbeat& answer);

  // The peer's address refused the heartbeat that was sent at `sent`.
  void OnPeerRefused(const InstanceId& peer, Time sent);

  // The peer is registered, or has sent a message.
  void OnPeerKnown(const InstanceId& peer);

  // The peer's lease object has been deleted.
  void OnPeerGone(const InstanceId& peer);

  // Returns the time of the last confirmation; nullopt if there was none.
  std::optional<Time> ConfirmedAt() const { return m_confirmed; }

  // Returns the age of the last confirmation, as sent in heartbeats; nullopt if
  // there was none.
  std::optional<Duration> Age(const Context& context) const;

  // Returns whether keys may be accepted: every withdrawal that any instance
  // could have learned of is either installed here or at most
  // kKeyFreshnessBound old.
  bool IsFresh(const Context& context) const;

 private:
  // The last known state of a peer.
  struct PeerEvidence {
    // When the heartbeat was sent that the peer last answered or refused.
    std::optional<Time> m_heartbeat_sent;
    // The revision that the peer had installed at its last answer.
    Revision m_revision;
    // The latest time at which the peer had every accepted change.
    std::optional<Time> m_confirmed;
    // When the last heartbeat was sent that showed that the peer did not reach
    // the platform. It remains valid for kKeyFreshnessBound, also if the peer
    // reaches the platform again within that time.
    std::optional<Time> m_outage_at;
    // The revision that the peer had installed at m_outage_at; 0 if it refused
    // the connection.
    Revision m_outage_revision;
    // Whether the peer answered the heartbeat of m_outage_at, rather than
    // refusing the connection.
    bool m_outage_answered = false;
    // The process that answered last.
    Incarnation m_incarnation;
    // Set when the peer was unresponsive for longer than kKeyFreshnessBound and
    // its process has ended or been replaced since; holds the end of that time.
    // Any changes that the earlier process had learned of are lost, so the
    // peer's state counts only after a confirmation later than this.
    std::optional<Time> m_uncertain_until;
  };

  void RecordSilence(PeerEvidence* evidence, Time sent);
  void ApplyConfirmation(const PeerEvidence& evidence);
  bool IsPlatformDownForAll(Time now) const;
  bool IndicatesOutage(const PeerEvidence& evidence, Time now) const;
  void Confirm(Time at);

  std::optional<Time> m_confirmed;
  Revision m_installed;
  std::map<InstanceId, PeerEvidence> m_peers;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_FRESHNESS_H_
