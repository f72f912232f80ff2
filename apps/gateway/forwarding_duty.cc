#include "apps/gateway/forwarding_duty.h"

#include <optional>
#include <stdexcept>
#include <utility>

#include "apps/gateway/clock.h"
#include "jasminelug/gossip.h"
#include "platform/statement_check.h"

namespace jasminelug::gateway_app {
namespace {

// Kind of the opaque peer messages that carry forwarded operations.
constexpr char kForwardKind[] = "f";
// Kind of those about copies of the store's objects.
constexpr char kStateKind[] = "s";
// Maximum number of connections that other instances may open to this one.
constexpr std::size_t kMaxInbound = 1024;

peers::PeerNetworkOptions MakeOptions(const gateway::InstanceEntry& self) {
  const auto address = peers::ParsePeerAddress(self.m_peer_address.str());
  if (!IsOk(address)) {
    throw std::runtime_error(GetError(address).m_message);
  }
  peers::PeerNetworkOptions options;
  options.m_listen = GetValue(address);
  options.m_max_inbound = kMaxInbound;
  options.m_jitter_seed = self.m_incarnation.value();
  return options;
}

}  // namespace

ForwardingDuty::ForwardingDuty(asio::io_context& io,
                               const gateway::InstanceEntry& self,
                               gateway::Engine& engine)
    : m_logger(log4cplus::Logger::getInstance("forwarding")),
      m_engine(engine),
      m_self(self) {
  auto network =
      peers::PeerNetwork::Listen(io, MakeOptions(self), MakePeerHooks());
  if (!IsOk(network)) {
    throw std::runtime_error(GetError(network).m_message);
  }
  m_network = TakeValue(std::move(network));
}

peers::PeerHooks ForwardingDuty::MakePeerHooks() {
  peers::PeerHooks hooks;
  hooks.m_on_message = [this](const peers::PeerAddress&,
                              const peers::Envelope& envelope) {
    OnEnvelope(envelope);
  };
  hooks.m_on_refused = [this](const peers::PeerAddress& peer) { OnLost(peer); };
  hooks.m_on_unreachable = [this](const peers::PeerAddress& peer) {
    OnLost(peer);
  };
  hooks.m_on_lost = [this](const peers::PeerAddress& peer) { OnLost(peer); };
  return hooks;
}

void ForwardingDuty::SetInstances(
    const std::vector<gateway::InstanceEntry>& entries) {
  for (const gateway::InstanceEntry& entry : entries) {
    SetAddress(entry.m_id, entry.m_peer_address);
  }
}

void ForwardingDuty::SetAddress(const gateway::InstanceId& instance,
                                const gateway::Address& address) {
  const auto parsed = peers::ParsePeerAddress(address.str());
  if (IsOk(parsed)) {
    m_addresses.insert_or_assign(instance, GetValue(parsed));
  } else {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL,
        "an instance has an invalid address",
        {{"peer", instance.str()}, {"reason", GetError(parsed).m_message}});
  }
}

void ForwardingDuty::SendBody(const peers::PeerAddress& peer,
                              const peers::Body& body) {
  peers::Envelope envelope;
  envelope.m_sender_instance = m_self.m_id.str();
  envelope.m_sender_incarnation =
      static_cast<std::int64_t>(m_self.m_incarnation.value());
  envelope.m_sequence = ++m_sequence;
  envelope.m_body = body;
  const auto sent = m_network->Send(peer, envelope);
  if (!IsOk(sent)) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "could not send to an instance",
        {{"peer", ToString(peer)}, {"reason", GetError(sent).m_message}});
  }
}

void ForwardingDuty::SendOpaque(const gateway::InstanceId& instance,
                                const peers::Opaque& body) {
  const auto found = m_addresses.find(instance);
  if (found == m_addresses.end()) {
    return;  // The sender gives up when no answer arrives.
  }
  const peers::PeerAddress peer = found->second;
  if (m_greeted.insert(peer).second) {
    SendBody(peer,
             peers::Hello{m_self.m_zone.str(), m_self.m_peer_address.str()});
  }
  SendBody(peer, body);
}

void ForwardingDuty::Send(const gateway::InstanceId& instance,
                          const gateway::ForwardMessage& message) {
  m_sent +=
      std::holds_alternative<gateway::ForwardedStatement>(message) ? 1 : 0;
  SendOpaque(instance, {kForwardKind, gossip::EncodeForward(message)});
}

void ForwardingDuty::SendState(const gateway::InstanceId& instance,
                               const gateway::StateMessage& message) {
  SendOpaque(instance, {kStateKind, gossip::EncodeState(message)});
}

void ForwardingDuty::Answer(gateway::SessionId session,
                            const gateway::Answer& answer) {
  const gateway::ForwardOrigin* origin = m_host.OriginOf(session);
  if (!origin) {
    return;  // The forwarding instance has given up the operation.
  }
  const gateway::StatementNumber number = m_host.NoteAnswered(session);
  Send(origin->m_instance,
       gateway::ForwardedAnswer{origin->m_operation, number, answer});
}

void ForwardingDuty::OnLost(const peers::PeerAddress& peer) {
  m_greeted.erase(peer);
  for (const auto& [instance, address] : m_addresses) {
    if (address == peer) {
      Log(m_logger, log4cplus::INFO_LOG_LEVEL, "lost contact with an instance",
          {{"peer", instance.str()}});
      m_engine.OnHolderLost(instance, Now());
    }
  }
}

void ForwardingDuty::OnEnvelope(const peers::Envelope& envelope) {
  const Sender sender{gateway::InstanceId(envelope.m_sender_instance),
                      gateway::Incarnation(static_cast<std::uint64_t>(
                          envelope.m_sender_incarnation))};
  if (const auto* hello = std::get_if<peers::Hello>(&envelope.m_body)) {
    OnHello(sender.m_instance, *hello);
    return;
  }
  const auto& opaque = std::get<peers::Opaque>(envelope.m_body);
  if (opaque.m_kind == kStateKind) {
    OnStateEnvelope(sender.m_instance, opaque.m_payload);
  } else if (opaque.m_kind == kForwardKind) {
    OnForwardEnvelope(sender, opaque.m_payload);
  } else {
    LogUnreadable(sender.m_instance, "unknown kind");
  }
}

void ForwardingDuty::OnHello(const gateway::InstanceId& sender,
                             const peers::Hello& hello) {
  const auto address = peers::ParsePeerAddress(hello.m_address);
  if (IsOk(address)) {
    m_addresses.insert_or_assign(sender, GetValue(address));
  } else {
    LogUnreadable(sender, GetError(address).m_message);
  }
}

void ForwardingDuty::OnForwardEnvelope(const Sender& sender,
                                       const std::string& payload) {
  const auto message = gossip::DecodeForward(payload);
  if (!IsOk(message)) {
    LogUnreadable(sender.m_instance, GetError(message).m_message);
    return;
  }
  EndSessionsOfEarlierRuns(sender);
  std::visit([this, &sender](const auto& body) { OnMessage(sender, body); },
             GetValue(message));
}

void ForwardingDuty::OnStateEnvelope(const gateway::InstanceId& sender,
                                     const std::string& payload) {
  const auto message = gossip::DecodeState(payload);
  if (!IsOk(message)) {
    LogUnreadable(sender, GetError(message).m_message);
    return;
  }
  m_on_state(sender, GetValue(message));
}

void ForwardingDuty::LogUnreadable(const gateway::InstanceId& sender,
                                   const std::string& reason) {
  Log(m_logger, log4cplus::WARN_LOG_LEVEL, "ignored an unreadable message",
      {{"peer", sender.str()}, {"reason", reason}});
}

void ForwardingDuty::EndSessionsOfEarlierRuns(const Sender& sender) {
  const gateway::Time now = Now();
  for (const gateway::SessionId session :
       m_host.EarlierSessions(sender.m_instance, sender.m_incarnation)) {
    EndSession(session, now);
  }
}

void ForwardingDuty::OnMessage(const Sender& sender,
                               const gateway::ForwardedStatement& statement) {
  m_received += 1;
  const gateway::ForwardOrigin origin{sender.m_instance, sender.m_incarnation,
                                      statement.m_operation};
  std::optional<gateway::SessionId> session = m_host.Find(origin);
  if (!session && !statement.m_starts_operation) {
    RefuseUnknownTransaction(sender.m_instance, statement);
    return;
  }
  if (!session) {
    session = m_host.Add(origin);
  }
  const gateway::Time now = Now();
  if (!m_host.NoteReceived(*session, statement.m_number, now)) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "ignored a repeated statement",
        {{"peer", sender.m_instance.str()}});
    return;
  }
  const std::optional<adapter::UnwritableLine> unwritable =
      adapter::FindUnwritable(statement);
  if (unwritable) {
    RefuseUnwritable(sender.m_instance, *session, statement,
                     unwritable->m_reason);
    return;
  }
  m_engine.OnForwardedStatement(*session, statement, now);
}

// Has the engine refuse a statement that no member could receive as it was
// sent.
void ForwardingDuty::RefuseUnwritable(
    const gateway::InstanceId& sender,
    gateway::SessionId session,
    const gateway::ForwardedStatement& statement,
    const std::string& reason) {
  Log(m_logger, log4cplus::WARN_LOG_LEVEL, "refused an unwritable statement",
      {{"peer", sender.str()}, {"reason", reason}});
  gateway::ForwardedStatement malformed = statement;
  malformed.m_statement.m_kind = gateway::StatementKind::kMalformed;
  m_engine.OnForwardedStatement(session, malformed, Now());
}

// Refuses a statement of a transaction that was lost in a restart of this
// instance, or was ended after being idle for too long. In both cases the
// member has rolled it back.
void ForwardingDuty::RefuseUnknownTransaction(
    const gateway::InstanceId& sender,
    const gateway::ForwardedStatement& statement) {
  const gateway::Refused refused{gateway::ErrorCode::kAborted,
                                 "the transaction is not known here"};
  Send(sender, gateway::ForwardedAnswer{
                   statement.m_operation,
                   statement.m_number,
                   {refused, gateway::TransactionState::kFailed, {}}});
}

void ForwardingDuty::OnMessage(const Sender& sender,
                               const gateway::ForwardedAnswer& answer) {
  m_engine.OnForwardAnswer(sender.m_instance, answer, Now());
}

void ForwardingDuty::OnMessage(const Sender& sender,
                               const gateway::ForwardedEnd& end) {
  const auto session =
      m_host.Find({sender.m_instance, sender.m_incarnation, end.m_operation});
  if (session) {
    EndSession(*session, Now());
  }
}

void ForwardingDuty::OnMessage(const Sender& sender,
                               const gateway::ForwardPing&) {
  Send(sender.m_instance, m_host.ProgressFor(sender.m_instance));
}

void ForwardingDuty::OnMessage(const Sender& sender,
                               const gateway::ForwardProgress& progress) {
  m_engine.OnForwardProgress(sender.m_instance, progress, Now());
}

void ForwardingDuty::EndSession(gateway::SessionId session, gateway::Time now) {
  m_host.Remove(session);
  m_engine.OnSessionEnd(session, now);
}

void ForwardingDuty::OnTick(gateway::Time now) {
  for (const gateway::ForwardHost::DueProgress& due :
       m_host.TakeDueProgress(now)) {
    Send(due.m_instance, due.m_progress);
  }
}

}  // namespace jasminelug::gateway_app
