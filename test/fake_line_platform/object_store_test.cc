#include "test/fake_line_platform/object_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

namespace jasminelug::fake_line_platform {
namespace {

using nlohmann::json;

json Object(const std::string& name, const json& spec) {
  return {{"meta", {{"name", name}}}, {"spec", spec}};
}

// Returns a store with the object "a" of the kind "k" (revision 2) and "b" of
// the kind "other" (revision 3).
ObjectStore MakeStore() {
  ObjectStore store;
  store.Create("k", Object("a", 1));
  store.Create("other", Object("b", 1));
  return store;
}

using Edit = std::function<ObjectStore::Response(ObjectStore*)>;

// A change that is made after a snapshot of MakeStore(), and lost.
struct LostEdit {
  std::string m_name;
  Edit m_edit;
};

std::vector<LostEdit> LostEdits() {
  return {
      {"create",
       [](ObjectStore* store) { return store->Create("k", Object("c", 1)); }},
      {"create a new kind",
       [](ObjectStore* store) { return store->Create("new", Object("c", 1)); }},
      {"replace",
       [](ObjectStore* store) {
         return store->Replace("k", "a", Object("a", 2));
       }},
      {"remove",
       [](ObjectStore* store) {
         return store->Remove("k", "a", std::nullopt);
       }},
  };
}

class ObjectStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreTest);
  CPPUNIT_TEST(RestoreLosesLaterChanges);
  CPPUNIT_TEST(RevisionsAreGivenOutAgainAfterRestore);
  CPPUNIT_TEST(EachRestoreRaisesTheEra);
  CPPUNIT_TEST(SnapshotStaysAsItWasTaken);
  CPPUNIT_TEST(ChangesSinceRevision);
  CPPUNIT_TEST(ConditionalWriteAfterRestore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RestoreLosesLaterChanges() {
    for (const LostEdit& row : LostEdits()) {
      ObjectStore store = MakeStore();
      const ObjectStore::Snapshot snapshot = store.TakeSnapshot();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, 200,
                                   row.m_edit(&store).m_status);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, snapshot != store.TakeSnapshot());
      store.Restore(snapshot);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, snapshot == store.TakeSnapshot());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::uint64_t{3},
                                   store.revision());
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             json(1) == store.Get("k", "a").m_body["spec"]);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, 404,
                                   store.Get("k", "c").m_status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, 404,
                                   store.Get("new", "c").m_status);
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, json(3) == store.List("k", "").m_body["current-rev"]);
    }
  }

  void RevisionsAreGivenOutAgainAfterRestore() {
    for (const LostEdit& row : LostEdits()) {
      ObjectStore store = MakeStore();
      const ObjectStore::Snapshot snapshot = store.TakeSnapshot();
      row.m_edit(&store);
      const std::uint64_t given_out = store.revision();
      store.Restore(snapshot);
      const auto created = store.Create("k", Object("d", 7));
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, json(given_out) == created.m_body["meta"]["revision"]);
      const auto changes = store.ChangesSince("k", snapshot.m_revision);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, changes.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::size_t{1}, changes->size());
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, json("d") == (*changes)[0]["object"]["meta"]["name"]);
    }
  }

  void EachRestoreRaisesTheEra() {
    ObjectStore store = MakeStore();
    const ObjectStore::Snapshot snapshot = store.TakeSnapshot();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.era());
    for (std::uint64_t era = 2; era < 5; ++era) {
      // Also if nothing is lost.
      store.Restore(snapshot);
      CPPUNIT_ASSERT_EQUAL(era, store.era());
      store.Create("k", Object("c", 1));
      CPPUNIT_ASSERT_EQUAL(era, store.era());
    }
  }

  void SnapshotStaysAsItWasTaken() {
    for (const LostEdit& row : LostEdits()) {
      ObjectStore store = MakeStore();
      const ObjectStore::Snapshot snapshot = store.TakeSnapshot();
      const ObjectStore::Snapshot same = store.TakeSnapshot();
      row.m_edit(&store);
      store.Restore(snapshot);
      row.m_edit(&store);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, same == snapshot);
    }
  }

  void ChangesSinceRevision() {
    struct Case {
      std::string m_kind;
      std::uint64_t m_since;
      // Number of changes, or nullopt if the revision is gone.
      std::optional<std::size_t> m_changes;
    };
    // Revisions 4 and 5 are lost by the restore, 4 is given out again.
    const std::vector<Case> cases = {
        {"k", 0, 2},      {"k", 2, 1},     {"k", 3, 1},     {"k", 4, 0},
        {"k", 5, {}},     {"k", 1000, {}}, {"other", 0, 1}, {"other", 4, 0},
        {"other", 5, {}}, {"none", 4, 0},  {"none", 5, {}},
    };
    ObjectStore store = MakeStore();
    const ObjectStore::Snapshot snapshot = store.TakeSnapshot();
    store.Create("k", Object("c", 1));
    store.Create("k", Object("d", 1));
    store.Restore(snapshot);
    store.Create("k", Object("e", 1));
    for (const Case& row : cases) {
      const std::string message =
          row.m_kind + " since " + std::to_string(row.m_since);
      const auto changes = store.ChangesSince(row.m_kind, row.m_since);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, row.m_changes.has_value(),
                                   changes.has_value());
      if (row.m_changes) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, *row.m_changes, changes->size());
      }
    }
  }

  void ConditionalWriteAfterRestore() {
    struct Case {
      std::uint64_t m_expected;
      int m_status;
    };
    const std::vector<Case> cases = {{2, 200}, {4, 409}};
    for (const Case& row : cases) {
      const std::string message = std::to_string(row.m_expected);
      ObjectStore store = MakeStore();
      const ObjectStore::Snapshot snapshot = store.TakeSnapshot();
      store.Replace("k", "a", Object("a", 2));  // Revision 4.
      store.Restore(snapshot);
      json object = Object("a", 3);
      object["meta"]["revision"] = row.m_expected;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, row.m_status,
                                   store.Replace("k", "a", object).m_status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreTest);

}  // namespace
}  // namespace jasminelug::fake_line_platform
