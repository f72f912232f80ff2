// Tests that an instance does not use a primary that may have been replaced:
// its statements must not arrive, or be acknowledged, once other instances may
// use another primary.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

// Maximum age of the last contact with which a primary is used.
const Duration contact_limit = EngineOptions().m_primary_contact_limit;

class ReplacedPrimaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacedPrimaryTest);
  CPPUNIT_TEST(TransactionDoesNotOutliveTheContact);
  CPPUNIT_TEST(LateConnectionDoesNotOutliveTheContact);
  CPPUNIT_TEST(LateAnswerIsNotAcknowledged);
  CPPUNIT_TEST(TransactionMayEndBeforeAPlannedReplacement);
  CPPUNIT_TEST(PrimaryIsBusyAfterItsEntryWasAwayForAWhile);
  CPPUNIT_TEST(AbandonedStatementsAreNotSentThereAgain);
  CPPUNIT_TEST(ProbeDoesNotHoldUpTheAcknowledgement);
  CPPUNIT_TEST(StatusCarriesTheTimeOfItsRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Opens a transaction that has written at the primary.
  static SessionId OpenTransaction(EngineFixture* fixture) {
    const SessionId id = fixture->Open("strict");
    fixture->Send(id, StatementKind::kBegin, "BEGIN");
    fixture->Write(id);
    fixture->AnswerAllAt("p", 10);
    CPPUNIT_ASSERT(fixture->Succeeded(id));
    return id;
  }

  // Advances time without contact that verifies the primaries.
  static void AdvanceWithKeysOnly(EngineFixture* fixture, Duration duration) {
    fixture->AdvanceWithoutContact(duration);
    fixture->m_engine.key_contact().RecordContact(fixture->m_now);
  }

  // Sends writes in the transaction for `duration`, without such contact.
  static void KeepWriting(EngineFixture* fixture,
                          SessionId id,
                          Duration duration) {
    const Time end = fixture->m_now + duration;
    while (fixture->m_now < end) {
      AdvanceWithKeysOnly(fixture, 100ms);
      fixture->Write(id);
      fixture->AnswerAllAt("p", 10);
    }
  }

  // The instance is cut off from the store and from its peers, but not from the
  // primary. The others replace the primary while a transaction is open.
  void TransactionDoesNotOutliveTheContact() {
    struct Case {
      const char* m_name;
      Duration m_without_contact;
      bool m_commits;
    };
    const std::vector<Case> cases = {
        {"contact is recent", contact_limit - 300ms, true},
        {"contact is too old", contact_limit + 100ms, false}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = OpenTransaction(&fixture);
      KeepWriting(&fixture, id, row.m_without_contact);
      fixture.Send(id, StatementKind::kCommit, "COMMIT");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_commits,
                                   fixture.CountUnansweredAt("p") > 0);
      if (!row.m_commits) {
        CPPUNIT_ASSERT(ErrorCode::kAborted == fixture.LastError(id));
      }
    }
  }

  // A statement is placed with a recent contact, and its connection opens when
  // the contact is too old.
  void LateConnectionDoesNotOutliveTheContact() {
    for (const bool late : {false, true}) {
      EngineFixture fixture;
      AdvanceWithKeysOnly(&fixture, contact_limit - 100ms);
      const SessionId id = fixture.Open("strict");
      fixture.Write(id);
      CPPUNIT_ASSERT(!fixture.m_opening.empty());
      AdvanceWithKeysOnly(&fixture, late ? 150ms : 20ms);
      CPPUNIT_ASSERT_EQUAL(late, fixture.CountUnansweredAt("p") == 0);
    }
  }

  // The primary runs a write after it has waited in the member's queue. By then
  // another primary may acknowledge writes.
  void LateAnswerIsNotAcknowledged() {
    EngineFixture fixture;
    AdvanceWithKeysOnly(&fixture, contact_limit - 100ms);
    const SessionId id = fixture.Open("strict");
    fixture.Write(id);
    fixture.OpenConnections();
    AdvanceWithKeysOnly(&fixture, 150ms);
    CPPUNIT_ASSERT(ErrorCode::kInDoubt == fixture.LastError(id));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountUnansweredAt("p"));
  }

  // A planned replacement lets open transactions end, but not without a limit:
  // the coordinator does not wait for ever.
  void TransactionMayEndBeforeAPlannedReplacement() {
    for (const bool abandon : {false, true}) {
      EngineFixture fixture;
      const SessionId id = OpenTransaction(&fixture);
      PrimaryView view{MemberId("p"), false, {}};
      fixture.m_engine.SetPrimary(EngineFixture::Group(), view, false,
                                  fixture.m_now);
      CPPUNIT_ASSERT(!fixture.m_engine.IsPrimaryIdle(EngineFixture::Group()));
      fixture.Advance(500ms);
      fixture.m_engine.SetPrimary(EngineFixture::Group(), view, abandon,
                                  fixture.m_now);
      fixture.Send(id, StatementKind::kCommit, "COMMIT");
      CPPUNIT_ASSERT_EQUAL(abandon, fixture.CountUnansweredAt("p") == 0);
      if (abandon) {
        CPPUNIT_ASSERT(ErrorCode::kAborted == fixture.LastError(id));
      }
      fixture.AnswerAllAt("p", 11);
      CPPUNIT_ASSERT(fixture.m_engine.IsPrimaryIdle(EngineFixture::Group()));
    }
  }

  // A primary that is cut off from the store is no longer announced, and is
  // announced again later, while a transaction is open.
  void PrimaryIsBusyAfterItsEntryWasAwayForAWhile() {
    EngineFixture fixture;
    OpenTransaction(&fixture);
    std::vector<Member> others = EngineFixture::Members();
    others.erase(others.begin());
    fixture.m_engine.SetMembers(others, fixture.m_now);
    CPPUNIT_ASSERT(!fixture.m_engine.IsPrimaryIdle(EngineFixture::Group()));
    fixture.m_engine.SetMembers(EngineFixture::Members(), fixture.m_now);
    CPPUNIT_ASSERT(!fixture.m_engine.IsPrimaryIdle(EngineFixture::Group()));
  }

  // An unplanned replacement begins while one write is in flight and others
  // wait for a place.
  void AbandonedStatementsAreNotSentThereAgain() {
    EngineFixture fixture;
    for (int i = 0; i < 12; ++i) {
      fixture.Write(fixture.Open("strict"));
    }
    fixture.OpenConnections();
    const std::size_t connections = fixture.m_connections.size();
    fixture.m_engine.SetPrimary(EngineFixture::Group(),
                                {MemberId("p"), false, {}}, true,
                                fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(connections, fixture.m_connections.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountUnansweredAt("p"));
    CPPUNIT_ASSERT(fixture.m_engine.IsPrimaryIdle(EngineFixture::Group()));
  }

  // The primary does not answer the probe of an instance that has to
  // acknowledge its replacement.
  void ProbeDoesNotHoldUpTheAcknowledgement() {
    EngineFixture fixture;
    fixture.m_engine.RequestStatus(MemberId("p"), fixture.m_now);
    fixture.OpenConnections();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountUnansweredAt("p"));
    CPPUNIT_ASSERT(fixture.m_engine.IsPrimaryIdle(EngineFixture::Group()));
  }

  // The connection opens late, and the answer comes later still. What it tells
  // may be as old as the sending of the request.
  void StatusCarriesTheTimeOfItsRequest() {
    EngineFixture fixture;
    const MemberId member("r1");
    fixture.m_engine.RequestStatus(member, fixture.m_now);
    fixture.Advance(100ms);
    fixture.OpenConnections();
    const Time sent = fixture.m_now;
    fixture.Advance(300ms);
    fixture.AnswerAllAt("r1", 3);
    CPPUNIT_ASSERT(fixture.m_statuses.contains(member));
    CPPUNIT_ASSERT(sent == fixture.m_statuses_requested.at(member));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedPrimaryTest);

}  // namespace
}  // namespace jasminelug::gateway
