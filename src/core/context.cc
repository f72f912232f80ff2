#include "src/core/context.h"

namespace jasminelug::core {
namespace {

// The lowest bits of a CallId hold the owner of the call.
constexpr uint64_t kOwnerBits = 3;
constexpr uint64_t kOwnerMask = (1U << kOwnerBits) - 1;

}  // namespace

void Context::Send(const InstanceId& peer, PeerMessage message) {
  Address address = m_lookup ? m_lookup(peer) : Address();
  if (address.empty()) {
    return;
  }
  Emit(SendToPeer{peer, std::move(address), std::move(message)});
}

CallId Context::CallThePlatform(CallOwner owner, PlatformRequest request) {
  const CallId call = NextCall(owner);
  Emit(CallPlatform{call, std::move(request)});
  return call;
}

void Context::Record(TimelineEvent event) {
  event.m_sequence = ++m_last_event;
  event.m_time = m_now;
  Emit(RecordEvent{std::move(event)});
}

CallId Context::NextCall(CallOwner owner) {
  return CallId((++m_last_call << kOwnerBits) | static_cast<uint64_t>(owner));
}

CallOwner Context::OwnerOf(CallId call) {
  return static_cast<CallOwner>(call.value() & kOwnerMask);
}

Duration Context::RandomUpTo(Duration limit) {
  std::uniform_int_distribution<Duration::rep> uniform(0, limit.count());
  return Duration(uniform(m_random));
}

}  // namespace jasminelug::core
