#include "apps/gateway/state_duty.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "apps/gateway/clock.h"

namespace jasminelug::gateway_app {
namespace {

using gateway::InstanceId;
using gateway::Revision;
using gateway::StoreKind;
using gateway::operator""ms;

struct Sent {
  InstanceId m_receiver;
  gateway::StateMessage m_message;
};

// A state duty whose connections are never served.
class Harness {
 public:
  Harness() : m_duty(m_io, MakeSettings(), MakeEntry(), MakeHooks()) {}

  static Settings MakeSettings() {
    Settings settings;
    settings.m_store = "127.0.0.1:1";
    return settings;
  }

  static gateway::InstanceEntry MakeEntry() {
    gateway::InstanceEntry entry;
    entry.m_id = InstanceId("a");
    entry.m_incarnation = gateway::Incarnation(5000);
    return entry;
  }

  StateDuty::Hooks MakeHooks() {
    StateDuty::Hooks hooks;
    hooks.m_changed = [this](StoreKind kind, const gateway::StoreObjects&,
                             Revision) { m_changes[kind] += 1; };
    hooks.m_verified = [this](StoreKind kind, gateway::Time as_of, bool) {
      m_contacts.insert_or_assign(kind, as_of);
    };
    hooks.m_contact_age =
        [this](StoreKind kind,
               gateway::Time now) -> std::optional<gateway::Duration> {
      const auto contact = m_contacts.find(kind);
      if (contact == m_contacts.end()) {
        return std::nullopt;
      }
      return now - contact->second;
    };
    hooks.m_neighbours = [](const gateway::StoreObjects&) {};
    hooks.m_send = [this](const InstanceId& receiver,
                          const gateway::StateMessage& message) {
      m_sent.push_back({receiver, message});
    };
    return hooks;
  }

  // Returns the request that was sent last.
  gateway::StateRequest LastRequest() {
    return std::get<gateway::StateRequest>(m_sent.back().m_message);
  }

  // Returns the updates that were sent to `receiver`.
  std::vector<gateway::StateUpdate> UpdatesFor(const std::string& receiver) {
    std::vector<gateway::StateUpdate> updates;
    for (const Sent& sent : m_sent) {
      const auto* update = std::get_if<gateway::StateUpdate>(&sent.m_message);
      if (update && sent.m_receiver == InstanceId(receiver)) {
        updates.push_back(*update);
      }
    }
    return updates;
  }

  asio::io_context m_io{1};
  std::map<StoreKind, int> m_changes;
  std::map<StoreKind, gateway::Time> m_contacts;
  std::vector<Sent> m_sent;
  StateDuty m_duty;
};

gateway::StateUpdate Update(StoreKind kind,
                            std::uint64_t changed,
                            std::optional<gateway::Duration> age) {
  gateway::StateUpdate update;
  update.m_kind = kind;
  update.m_changed = Revision(changed);
  update.m_age = age;
  return update;
}

class StateDutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateDutyTest);
  CPPUNIT_TEST(WaitingRequestsAreAnsweredWithTheProof);
  CPPUNIT_TEST(UnrequestedAndDamagedUpdatesAreIgnored);
  CPPUNIT_TEST(LateUpdateProvesNoMoreThanItsOwnRequest);
  CPPUNIT_TEST(CopyIsNotOlderThanTheRecordThatWasWritten);
  CPPUNIT_TEST(DifferenceToTheCopyOfAnEarlierRunIsIgnored);
  CPPUNIT_TEST(AnswerToAnEarlierRunProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // All instances restart. "c" asks this instance, which gets its own copy from
  // "b". The copy that it passes on must carry the proof, or "c" would refuse
  // what needs a primary until the next report.
  void WaitingRequestsAreAnsweredWithTheProof() {
    Harness harness;
    const gateway::Time now = Now();
    harness.m_duty.OnMessage(
        InstanceId("c"),
        gateway::StateRequest{StoreKind::kReplacements, Revision(), {}}, now);
    harness.m_duty.OnUnknownReporter(InstanceId("b"));
    CPPUNIT_ASSERT_EQUAL(gateway::kStoreKinds.size(), harness.m_sent.size());
    CPPUNIT_ASSERT(harness.UpdatesFor("c").empty());
    harness.m_duty.OnMessage(InstanceId("b"),
                             Update(StoreKind::kReplacements, 5, 10ms), now);
    const std::vector<gateway::StateUpdate> updates = harness.UpdatesFor("c");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
    CPPUNIT_ASSERT(Revision(5) == updates[0].m_changed);
    CPPUNIT_ASSERT(updates[0].m_age.has_value());
    CPPUNIT_ASSERT(*updates[0].m_age >= 10ms);
  }

  void UnrequestedAndDamagedUpdatesAreIgnored() {
    Harness harness;
    const gateway::Time now = Now();
    harness.m_duty.OnMessage(InstanceId("b"),
                             Update(StoreKind::kMembers, 5, 10ms), now);
    CPPUNIT_ASSERT(harness.m_changes.empty());
    harness.m_duty.OnUnknownReporter(InstanceId("b"));
    gateway::StateUpdate damaged = Update(StoreKind::kMembers, 5, 10ms);
    damaged.m_objects = {std::string(100000, '[')};
    harness.m_duty.OnMessage(InstanceId("b"), damaged, now);
    CPPUNIT_ASSERT(harness.m_changes.empty());
    CPPUNIT_ASSERT(harness.m_contacts.empty());
  }

  // A peer is asked again before its first answer, which was delayed, arrives.
  // The answer may have been made before the second request was sent.
  void LateUpdateProvesNoMoreThanItsOwnRequest() {
    Harness harness;
    const gateway::Time now = Now();
    harness.m_duty.OnUnknownReporter(InstanceId("c"));
    for (const StoreKind kind : gateway::kStoreKinds) {
      harness.m_duty.OnMessage(InstanceId("c"), Update(kind, 5, std::nullopt),
                               now);
    }
    const std::vector<gateway::CopyRevision> newer = {
        {StoreKind::kReplacements, Revision(9), Revision(9)}};
    harness.m_duty.OnReport(InstanceId("b"), newer, now);
    const gateway::Time first_request = Now();
    const std::size_t sent = harness.m_sent.size();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    harness.m_duty.OnReport(InstanceId("b"), newer, now + 300ms);
    harness.m_duty.OnReport(InstanceId("b"), newer, now + 1500ms);
    CPPUNIT_ASSERT_EQUAL(sent + 1, harness.m_sent.size());
    gateway::StateUpdate late = Update(StoreKind::kReplacements, 9, 0ms);
    late.m_base = Revision(5);
    harness.m_duty.OnMessage(InstanceId("b"), late, now + 1500ms);
    CPPUNIT_ASSERT_EQUAL(2, harness.m_changes[StoreKind::kReplacements]);
    CPPUNIT_ASSERT(harness.m_contacts.at(StoreKind::kReplacements) <=
                   first_request);
  }

  // This instance had a copy before it was restarted, and a peer answers a
  // request of that time. The difference to that copy is not a copy: it would
  // lack the record that both had.
  void DifferenceToTheCopyOfAnEarlierRunIsIgnored() {
    Harness harness;
    const gateway::Time now = Now();
    harness.m_duty.OnUnknownReporter(InstanceId("b"));
    gateway::StateUpdate late = Update(StoreKind::kReplacements, 9, 0ms);
    late.m_base = Revision(5);
    harness.m_duty.OnMessage(InstanceId("b"), late, now);
    CPPUNIT_ASSERT_EQUAL(0, harness.m_changes[StoreKind::kReplacements]);
    CPPUNIT_ASSERT(harness.m_contacts.empty());
    harness.m_duty.OnMessage(InstanceId("b"),
                             Update(StoreKind::kReplacements, 9, 0ms), now);
    CPPUNIT_ASSERT_EQUAL(1, harness.m_changes[StoreKind::kReplacements]);
    CPPUNIT_ASSERT(harness.m_contacts.contains(StoreKind::kReplacements));
  }

  // A peer answers a request of this instance's previous run, which had no copy
  // either. It may have made the answer long before this run asked.
  void AnswerToAnEarlierRunProvesNothing() {
    Harness harness;
    const gateway::Time now = Now();
    harness.m_duty.OnUnknownReporter(InstanceId("b"));
    const gateway::StateRequest request = harness.LastRequest();
    gateway::StateUpdate update = Update(request.m_kind, 9, 0ms);
    update.m_number = *request.m_number - 1000;
    harness.m_duty.OnMessage(InstanceId("b"), update, now);
    CPPUNIT_ASSERT_EQUAL(0, harness.m_changes[request.m_kind]);
    CPPUNIT_ASSERT(harness.m_contacts.empty());
    update.m_number = request.m_number;
    harness.m_duty.OnMessage(InstanceId("b"), update, now);
    CPPUNIT_ASSERT_EQUAL(1, harness.m_changes[request.m_kind]);
    CPPUNIT_ASSERT(harness.m_contacts.contains(request.m_kind));
  }

  // The proof of a copy that is passed on is that of the newest record that
  // this instance knows. It must not vouch for the copy from before its own
  // write.
  void CopyIsNotOlderThanTheRecordThatWasWritten() {
    Harness harness;
    const gateway::Time now = Now();
    harness.m_duty.OnUnknownReporter(InstanceId("b"));
    harness.m_duty.OnMessage(InstanceId("b"),
                             Update(StoreKind::kReplacements, 5, 10ms), now);
    gateway::StoreObject written;
    written.m_name = gateway::ReplacementCoordinator::kRecordName;
    written.m_revision = Revision(8);
    written.m_value = gateway::ReplacementRecord();
    harness.m_duty.OnRecordWritten(written);
    harness.m_duty.OnMessage(
        InstanceId("c"),
        gateway::StateRequest{StoreKind::kReplacements, Revision(), {}}, now);
    const std::vector<gateway::StateUpdate> updates = harness.UpdatesFor("c");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
    CPPUNIT_ASSERT(Revision(8) == updates[0].m_changed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates[0].m_objects.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateDutyTest);

}  // namespace
}  // namespace jasminelug::gateway_app
