#include "src/core/configuration_store.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/common/assert.h"
#include "src/core/configuration_builder.h"
#include "src/core/configuration_codec.h"

namespace jasminelug::core {
namespace {

// Maximum time that a call may take in addition to the wait that it requested.
constexpr Duration kCallTimeout = 5s;
// If a call takes this much longer than the wait that it requested, another
// call is sent in parallel, so that a slow platform still confirms the
// configuration often.
constexpr Duration kSlowCallThreshold = 250ms;
constexpr size_t kMaxCalls = 4;
// Minimum time between two calls. Limits the rate of calls when every watch
// returns a change at once.
constexpr Duration kMinCallInterval = 50ms;
constexpr Duration kFirstRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 1s;
constexpr Duration kRelayInterval = 100ms;
// Maximum time between two parts of a relay. No other relay is requested
// meanwhile.
constexpr Duration kRelayPartTimeout = 500ms;
constexpr size_t kMaxNamesInDetail = 5;

std::string NameOf(const Object& object) {
  return std::string(ToString(object.m_key.m_kind)) + " " +
         object.m_key.m_name + " version " + std::to_string(object.m_version);
}

std::string DescribeChanges(const std::vector<Object>& changed) {
  std::string text;
  for (size_t i = 0; i < changed.size() && i < kMaxNamesInDetail; ++i) {
    text += (i == 0 ? "" : ", ") + NameOf(changed[i]);
  }
  if (changed.size() > kMaxNamesInDetail) {
    text +=
        " and " + std::to_string(changed.size() - kMaxNamesInDetail) + " more";
  }
  return text;
}

TimelineEvent MakeEvent(TimelineKind kind,
                        Revision revision,
                        std::string detail) {
  TimelineEvent event;
  event.m_kind = kind;
  event.m_revision = revision;
  event.m_detail = std::move(detail);
  return event;
}

}  // namespace

void ConfigurationStore::Start(Context& context) {
  m_started = context.Now();
  CallAgain(context);
}

void ConfigurationStore::OnTick(Context& context) {
  DropOverdueCalls(context);
  const bool contact_lost =
      !m_last_contact || context.Now() - *m_last_contact > kPlatformLostAfter;
  if (m_reachable && contact_lost) {
    RecordLostContact(context);
  }
  CallAgain(context);
}

void ConfigurationStore::OnPlatformAnswered(CallId call,
                                            const PlatformAnswer& answer,
                                            Context& context) {
  const auto found = m_calls.find(call);
  if (found == m_calls.end()) {
    return;
  }
  const PendingCall pending = found->second;
  m_calls.erase(found);
  if (const auto* batch = std::get_if<ObjectBatch>(&answer)) {
    OnBatch(pending, *batch, context);
  } else {
    OnFailure(context);
  }
  CallAgain(context);
}

void ConfigurationStore::OnHeartbeat(const PeerSender& from,
                                     const Heartbeat& heartbeat,
                                     Context& context) {
  const bool needs_peers =
      !IsPlatformReachable(context) && context.Now() - m_started >= kWatchWait;
  if (!needs_peers || heartbeat.m_revision <= m_table.GetRevision() ||
      context.Now() < m_next_relay) {
    return;
  }
  m_next_relay = context.Now() + kRelayInterval;
  context.Send(from.m_instance, ObjectsRequest{m_table.GetRevision()});
}

void ConfigurationStore::OnObjectsRequest(const PeerSender& from,
                                          const ObjectsRequest& request,
                                          Context& context) {
  if (m_table.GetRevision() > request.m_since) {
    const RelayedObjects whole = m_table.ChangesSince(request.m_since);
    for (RelayedObjects& part : SplitRelay(whole, kMaxRelayPartBytes)) {
      context.Send(from.m_instance, std::move(part));
    }
  }
}

void ConfigurationStore::OnRelayedObjects(const PeerSender& from,
                                          const RelayedObjects& relayed,
                                          Context& context) {
  const std::optional<RelayedObjects> whole = m_assembler.Add(from, relayed);
  if (whole) {
    Install(whole->m_since, whole->m_batch, context);
  } else {
    // More parts of this relay are to come. No other relay is requested until
    // then.
    m_next_relay = context.Now() + kRelayPartTimeout;
  }
}

bool ConfigurationStore::IsPlatformReachable(const Context& context) const {
  return m_reachable && m_last_contact &&
         context.Now() - *m_last_contact <= kPlatformLostAfter;
}

void ConfigurationStore::CallAgain(Context& context) {
  const Time now = context.Now();
  if (now < m_next_call || m_calls.size() >= kMaxCalls) {
    return;
  }
  const bool slow = !m_calls.empty();
  // A list returns every object and is expensive, so only one is in flight at a
  // time.
  if (slow && m_must_list) {
    return;
  }
  if (slow && now - m_last_sent < kWatchWait + kSlowCallThreshold) {
    return;
  }
  if (m_must_list) {
    SendList(context);
    return;
  }
  SendWatch(slow ? Duration::zero() : kWatchWait, context);
}

void ConfigurationStore::SendList(Context& context) {
  const CallId call =
      context.CallThePlatform(CallOwner::kConfiguration, ListObjects{});
  AddCall(call, true, Duration::zero(), context);
}

void ConfigurationStore::SendWatch(Duration wait, Context& context) {
  const CallId call = context.CallThePlatform(
      CallOwner::kConfiguration, WatchObjects{m_table.GetRevision(), wait});
  AddCall(call, false, wait, context);
}

void ConfigurationStore::AddCall(CallId call,
                                 bool is_list,
                                 Duration wait,
                                 Context& context) {
  const Time now = context.Now();
  m_calls[call] = {now, now + wait + kCallTimeout, is_list,
                   m_table.GetRevision()};
  m_last_sent = now;
  m_next_call = now + kMinCallInterval;
}

void ConfigurationStore::DropOverdueCalls(Context& context) {
  const Time now = context.Now();
  const size_t dropped = std::erase_if(m_calls, [now](const auto& entry) {
    return now >= entry.second.m_overdue;
  });
  if (dropped > 0) {
    OnFailure(context);
  }
}

void ConfigurationStore::OnBatch(const PendingCall& call,
                                 const ObjectBatch& batch,
                                 Context& context) {
  m_retry_delay = Duration::zero();
  if (batch.m_must_list) {
    m_must_list = true;
    return;
  }
  // The platform has lost changes that this instance has already installed. The
  // installed changes are kept, and the answer does not count as a
  // confirmation.
  if (batch.m_revision < call.m_installed) {
    context.Record(MakeEvent(TimelineKind::kConfigurationRefused,
                             batch.m_revision,
                             "the platform's revision went back"));
    m_must_list = true;
    m_next_call = context.Now() + kMaxRetryDelay;
    return;
  }
  if (call.m_is_list) {
    m_must_list = false;
  }
  Install(call.m_is_list ? Revision() : call.m_installed, batch, context);
  RecordContact(call.m_sent, context);
}

void ConfigurationStore::OnFailure(Context& context) {
  const Duration doubled = std::max(2 * m_retry_delay, kFirstRetryDelay);
  m_retry_delay = std::min(doubled, kMaxRetryDelay);
  const Duration jittered =
      m_retry_delay / 2 + context.RandomUpTo(m_retry_delay / 2);
  m_next_call = std::max(m_next_call, context.Now() + jittered);
}

void ConfigurationStore::RecordContact(Time sent, Context& context) {
  m_last_contact = std::max(m_last_contact.value_or(sent), sent);
  if (!m_reachable && context.Now() - *m_last_contact <= kPlatformLostAfter) {
    m_reachable = true;
    context.Record(
        MakeEvent(TimelineKind::kPlatformReached, m_table.GetRevision(), ""));
    if (m_hooks.m_on_contact) {
      m_hooks.m_on_contact(true, context);
    }
  }
  if (m_hooks.m_on_confirmed) {
    m_hooks.m_on_confirmed(sent, context);
  }
}

void ConfigurationStore::RecordLostContact(Context& context) {
  m_reachable = false;
  context.Record(
      MakeEvent(TimelineKind::kPlatformLost, m_table.GetRevision(), ""));
  if (m_hooks.m_on_contact) {
    m_hooks.m_on_contact(false, context);
  }
}

void ConfigurationStore::Install(Revision since,
                                 const ObjectBatch& batch,
                                 Context& context) {
  const Revision before = m_table.GetRevision();
  const ObjectTable::Changes changes = m_table.Merge(since, batch);
  JASMINELUG_ASSERT(m_table.GetRevision() >= before,
                    CONFIGURATION_NEVER_REVERTS);
  if (m_table.GetRevision() == before) {
    return;
  }
  Publish(changes, context);
  for (const Object& object : changes) {
    if (!IsConfigurationKind(object.m_key.m_kind) && m_hooks.m_on_object) {
      m_hooks.m_on_object(object, context);
    }
  }
  if (m_hooks.m_on_advanced) {
    m_hooks.m_on_advanced(m_table.GetRevision(), context);
  }
}

void ConfigurationStore::Publish(const ObjectTable::Changes& changes,
                                 Context& context) {
  std::vector<Object> changed;
  std::copy_if(changes.begin(), changes.end(), std::back_inserter(changed),
               [](const Object& object) {
                 return IsConfigurationKind(object.m_key.m_kind);
               });
  if (changed.empty() && m_current) {
    return;
  }
  ConfigurationBuilder builder(m_current);
  for (const Object& object : changed) {
    const FieldErrors errors = builder.Apply(object);
    if (!errors.empty()) {
      context.Record(
          MakeEvent(TimelineKind::kConfigurationRefused, object.m_revision,
                    NameOf(object) + ": " + FormatFieldErrors(errors)));
    }
  }
  m_current = builder.Build(m_table.GetRevision());
  context.Record(MakeEvent(TimelineKind::kConfigurationInstalled,
                           m_current->m_revision, DescribeChanges(changed)));
  if (m_hooks.m_on_installed) {
    m_hooks.m_on_installed(m_current, context);
  }
}

}  // namespace jasminelug::core
