#ifndef TEST_FAKE_LINE_PLATFORM_OBJECT_STORE_H_
#define TEST_FAKE_LINE_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jasminelug::fake_line_platform {

// Objects of the fake metadata store, with the history of their changes. Can
// lose acknowledged changes: Restore() goes back to an earlier snapshot.
class ObjectStore {
 public:
  struct Response {
    int m_status = 200;
    nlohmann::json m_body;
  };

  struct Change {
    friend bool operator==(const Change&, const Change&) = default;

    std::uint64_t m_revision;
    std::string m_kind;
    bool m_removed;
    nlohmann::json m_object;
  };

  // The objects of one kind, keyed by name.
  using Objects = std::map<std::string, nlohmann::json>;

  // The contents of a store at one time.
  struct Snapshot {
    friend bool operator==(const Snapshot&, const Snapshot&) = default;

    // The objects, keyed by kind.
    std::map<std::string, Objects> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
  };

  Response List(const std::string& kind, const std::string& after) const;
  Response Get(const std::string& kind, const std::string& name) const;
  Response Create(const std::string& kind, const nlohmann::json& object);
  Response Replace(const std::string& kind,
                   const std::string& name,
                   const nlohmann::json& object);
  Response Remove(const std::string& kind,
                  const std::string& name,
                  std::optional<std::uint64_t> expected);

  // Returns the changes of a kind after the revision `since`, or nullopt if
  // that revision is gone: it is above revision(), so it was given out before a
  // Restore().
  std::optional<nlohmann::json> ChangesSince(const std::string& kind,
                                             std::uint64_t since) const;
  std::uint64_t revision() const { return m_contents.m_revision; }

  // Returns a copy of the contents, for Restore().
  Snapshot TakeSnapshot() const { return m_contents; }

  // Replaces the contents by an earlier copy and begins a new era. Later
  // changes are lost and their revisions are given out again.
  void Restore(const Snapshot& snapshot);

  // Returns one more than the number of calls of Restore().
  std::uint64_t era() const { return m_era; }

 private:
  nlohmann::json* Find(const std::string& kind, const std::string& name);
  Response Store(const std::string& kind,
                 const std::string& name,
                 const nlohmann::json& object,
                 std::uint64_t created);
  // Appends a change to the history under the current revision.
  void Record(const std::string& kind,
              bool removed,
              const nlohmann::json& object);

  Snapshot m_contents;
  std::uint64_t m_era = 1;
};

}  // namespace jasminelug::fake_line_platform

#endif  // TEST_FAKE_LINE_PLATFORM_OBJECT_STORE_H_
