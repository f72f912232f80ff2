#ifndef SRC_CORE_PEER_TABLE_H_
#define SRC_CORE_PEER_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "src/core/context.h"
#include "src/core/event.h"
#include "src/core/instance_record.h"
#include "src/core/peer_info.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

inline constexpr Duration kHeartbeatInterval = 500ms;
// Time without an answer to a heartbeat after which a peer counts as lost.
inline constexpr Duration kPeerLostAfter = 1500ms;
// Time without any message after which an unregistered peer is forgotten.
inline constexpr Duration kForgetPeerAfter = 60s;

// Table of the other instances: their ids and addresses, and which of them
// answer. Sends and answers heartbeats.
class PeerTable {
 public:
  struct Hooks {
    // Returns a heartbeat that describes this instance.
    std::function<Heartbeat(const Context&)> m_make_heartbeat;
    // Called when a peer has answered the heartbeat sent to it at `sent`.
    std::function<
        void(const PeerSender&, Time sent, const Heartbeat&, Context&)>
        m_on_answer;
    // Called when the peer's address has refused the connection for the
    // heartbeat sent at `sent`.
    std::function<void(const InstanceId&, Time sent, Context&)> m_on_refused;
    // Called when a peer is first registered or first sends a heartbeat.
    std::function<void(const InstanceId&, Context&)> m_on_known;
    // Called when a peer is removed: its lease object was deleted, or it has no
    // lease object and has become unresponsive.
    std::function<void(const InstanceId&, Context&)> m_on_gone;
  };

  PeerTable(InstanceId own_id, std::vector<SeedPeer> seeds, Hooks hooks);

  // Adds the seed peers to the table.
  void Start(Context& context);

  // Sends the heartbeats that are due and detects lost peers.
  void OnTick(Context& context);

  // Handles the lease object of another instance. `record` is null if the
  // object was deleted.
  void OnRecord(const InstanceId& peer,
                const InstanceRecord* record,
                Context& context);

  // Returns whether a message comes from the newest known incarnation of its
  // sender, and records a newer incarnation. Returns false for a message under
  // this instance's own id. Messages for which this returns false must be
  // dropped.
  bool Accept(const PeerSender& from, Context& context);

  // Handles a heartbeat that was accepted. Answers it, or, if it is an answer
  // itself, matches it with the heartbeat that it answers.
  void OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   Context& context);

  void OnPeerUnreachable(const PeerUnreachable& event, Context& context);

  // Removes unregistered peers whose last message is older than
  // kForgetPeerAfter. Every change that the platform held at `confirmed` must
  // be installed: a peer last heard from at or after that time may have been
  // registered since, so it is kept.
  void ForgetUnresponsivePeers(Time confirmed, Context& context);

  // Returns the address at which the peer listens; empty if it is unknown.
  Address AddressOf(const InstanceId& peer) const;

  // Returns every known peer, ordered by id.
  std::vector<PeerInfo> Peers() const;

  // Returns the entry of one peer; null if the table has none.
  const PeerInfo* Find(const InstanceId& peer) const;

 private:
  // A heartbeat that has been sent and not answered yet.
  struct SentHeartbeat {
    uint64_t m_number = 0;
    Time m_sent;
  };

  struct Peer {
    PeerInfo m_info;
    std::vector<SentHeartbeat> m_unanswered;
    // Arrival time of the last answer to a heartbeat; nullopt if none arrived.
    std::optional<Time> m_last_answer;
    // True once the peer was registered or has sent a heartbeat. False for a
    // seed peer that has not been heard from.
    bool m_known = false;
  };

  Peer& EnsureKnown(const InstanceId& id, Context& context);
  void SendHeartbeat(const InstanceId& id, Peer* peer, Context& context);
  void Forget(const InstanceId& id, Context& context);
  static void SetIncarnation(Incarnation incarnation, Peer* peer);
  Heartbeat MakeHeartbeat(const Context& context) const;
  static void MarkLive(Peer* peer, Context& context);
  static void MarkLost(Peer* peer, Context& context);
  static std::optional<Time> TakeSendTime(uint64_t number, Peer* peer);

  InstanceId m_own_id;
  std::vector<SeedPeer> m_seeds;
  Hooks m_hooks;
  std::map<InstanceId, Peer> m_peers;
  uint64_t m_last_number = 0;
  Time m_next_heartbeat;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_PEER_TABLE_H_
