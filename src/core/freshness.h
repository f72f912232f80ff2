#ifndef SRC_CORE_FRESHNESS_H_
#define SRC_CORE_FRESHNESS_H_

#include <map>
#include <optional>

#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// A key is honoured at most this long after its withdrawal was accepted, where
// docs/design/configuration.md does not say otherwise.
inline constexpr Duration kKeyFreshnessBound = 2s;

// Knows the latest time at which this instance had every accepted change of
// the configuration, and whether the platform is down for everybody.
class Freshness {
 public:
  // The platform itself confirmed, in answer to a call made at `sent`.
  void OnPlatformConfirmed(Time sent);

  // A peer answered the heartbeat that was sent to it at `sent`. `installed`
  // is the revision that this instance has installed.
  void OnPeerAnswer(const PeerSender& peer,
                    Time sent,
                    const Heartbeat& answer,
                    Revision installed);

  // The peer's address refused the heartbeat that was sent at `sent`.
  void OnPeerRefused(const InstanceId& peer, Time sent);

  // The peer is registered, or has sent messages.
  void OnPeerKnown(const InstanceId& peer);

  // The peer's lease object is gone.
  void OnPeerGone(const InstanceId& peer);

  // Returns the time of the last confirmation; nullopt if there was none.
  std::optional<Time> ConfirmedAt() const { return m_confirmed; }

  // Returns the age of the last confirmation, for a heartbeat.
  std::optional<Duration> Age(const Context& context) const;

  // Returns whether no withdrawal that an instance could have learned of is
  // older than kKeyFreshnessBound and not installed here.
  bool IsFresh(Revision installed, const Context& context) const;

 private:
  // What one peer has proved.
  struct Evidence {
    // When the heartbeat was sent that brought the latest evidence.
    std::optional<Time> m_at;
    bool m_answered = false;
    // The peer reached the platform, or knows more than this instance did.
    bool m_reaches_platform = false;
    Revision m_revision;
    Incarnation m_incarnation;
    // End of a silence after which the process that was silent did not answer:
    // what it knew is lost unless a later confirmation covers it.
    std::optional<Time> m_unproved_until;
  };

  static bool EndsSilence(const Evidence& evidence, Time sent);
  bool IsPlatformDownForAll(Revision installed, Time now) const;
  bool ProvesOutage(const Evidence& evidence,
                    Revision installed,
                    Time now) const;
  void Confirm(Time at);

  std::optional<Time> m_confirmed;
  std::map<InstanceId, Evidence> m_peers;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_FRESHNESS_H_
