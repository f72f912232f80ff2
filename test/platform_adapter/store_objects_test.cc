#include "platform/store_objects.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jasminelug::adapter {
namespace {

using gateway::StoreKind;
using nlohmann::json;

json Object(const std::string& name, const std::string& spec) {
  return {{"meta", {{"name", name}, {"revision", 12}}},
          {"spec", json::parse(spec)}};
}

constexpr char kManifest[] = R"({"version": 7,
  "routes": [{"name": "r", "host": "xapu", "route-type": "bounded",
    "timeout-ms": 2000, "latency-slo-ms": 600, "priority": 2,
    "service": "huvo", "max-staleness-ms": 1500, "public": false}],
  "services": [{"name": "huvo", "max-conns": 21, "sync-replicas": 1}],
  "limits": {"tx-idle-ms": 3000},
  "tenants": [{"name": "nypu", "api-keys": ["k1", "k2"],
    "priority": 1, "rate-per-s": 123, "burst": 120}]})";

constexpr char kMember[] = R"({"service": "huvo", "address": "10.0.0.9:80",
  "zone": "north", "version": "v1", "slots": 3, "state": "ready",
  "cold-left-ms": 0, "db-role": "primary", "seq-num": 4, "born": 1700})";

constexpr gateway::StoreEpoch kEpoch(2);

class StoreObjectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreObjectsTest);
  CPPUNIT_TEST(ReadsTheConfiguration);
  CPPUNIT_TEST(ReadsMembers);
  CPPUNIT_TEST(RejectsMalformedMembers);
  CPPUNIT_TEST(OwnObjectsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsTheConfiguration() {
    const gateway::StoreObject object = DecodeObject(
        StoreKind::kConfiguration, Object("main", kManifest).dump(), kEpoch);
    const auto configuration =
        std::get<std::shared_ptr<const gateway::Configuration>>(object.m_value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, configuration->m_version);
    const gateway::Route& route =
        configuration->m_routes.at(gateway::DatabaseName("xapu"));
    CPPUNIT_ASSERT(gateway::Consistency::kBoundedStaleness ==
                   route.m_consistency);
    CPPUNIT_ASSERT(std::chrono::milliseconds(1500) == route.m_max_staleness);
    CPPUNIT_ASSERT(std::chrono::milliseconds(600) == route.m_objective);
    CPPUNIT_ASSERT_EQUAL(
        1,
        configuration->m_groups.at(gateway::GroupName("huvo")).m_sync_replicas);
    CPPUNIT_ASSERT(gateway::CustomerName("nypu") ==
                   configuration->m_keys.at(gateway::CallerKey("k2")));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        123,
        configuration->m_customers.at(gateway::CustomerName("nypu"))
            .m_operations_per_second,
        0);
  }

  void ReadsMembers() {
    const gateway::StoreObject object = DecodeObject(
        StoreKind::kMembers, Object("i-7", kMember).dump(), kEpoch);
    const auto& member = std::get<gateway::Member>(object.m_value);
    CPPUNIT_ASSERT(gateway::MemberId("i-7") == member.m_id);
    CPPUNIT_ASSERT(gateway::MemberRole::kPrimary == member.m_role);
    CPPUNIT_ASSERT_EQUAL(3, member.m_slots);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700}, member.m_started_at_ms);
    CPPUNIT_ASSERT(gateway::Revision(kEpoch, 12) == object.m_revision);
  }

  // Objects that other programs write may be malformed. They must become an
  // UnreadableObject and must not throw.
  void RejectsMalformedMembers() {
    std::vector<json> objects = {json(),
                                 json(7),
                                 json::parse(R"({"meta": 3})"),
                                 json::parse(R"({"meta": {"name": "i-7"}})"),
                                 Object("i-7", "{}"),
                                 Object("i-7", "[]"),
                                 Object("i-7", "\"x\"")};
    for (const char* field :
         {"service", "address", "zone", "state", "slots", "db-role", "born"}) {
      json object = Object("i-7", kMember);
      object["spec"][field] = json::array();
      objects.push_back(object);
    }
    json unknown_state = Object("i-7", kMember);
    unknown_state["spec"]["state"] = "resting";
    objects.push_back(unknown_state);
    // Members are started with their id and their group as fields of a line.
    for (const char* name : {"", " ", "i 7", "i-7\r\nQUERY 1 WRITE x y"}) {
      objects.push_back(Object(name, kMember));
      json object = Object("i-7", kMember);
      object["spec"]["service"] = name;
      objects.push_back(object);
    }
    for (const json& object : objects) {
      const gateway::StoreObject decoded =
          DecodeObject(StoreKind::kMembers, object.dump(), kEpoch);
      CPPUNIT_ASSERT_MESSAGE(
          object.dump(),
          std::holds_alternative<gateway::UnreadableObject>(decoded.m_value));
    }
  }

  void OwnObjectsRoundTrip() {
    gateway::InstanceEntry entry;
    entry.m_id = gateway::InstanceId("a");
    entry.m_incarnation = gateway::Incarnation(17);
    entry.m_zone = gateway::ZoneName("north");
    entry.m_peer_address = gateway::Address("10.0.0.1:7560");
    entry.m_acknowledged = gateway::Revision(4);
    gateway::ReplacementRecord record;
    record.m_coordinator = gateway::InstanceId("a");
    record.m_primaries = {{gateway::GroupName("g"), gateway::MemberId("m")}};
    gateway::ReplacementRecord with_intent = record;
    with_intent.m_intent = gateway::ReplacementIntent{
        gateway::GroupName("g"), gateway::MemberId("m"), gateway::MemberId("n"),
        true};
    for (const gateway::StoreValue& value :
         std::vector<gateway::StoreValue>{entry, record, with_intent}) {
      json object = Object("x", "{}");
      object["spec"] = EncodeValue(value);
      const StoreKind kind =
          std::holds_alternative<gateway::InstanceEntry>(value)
              ? StoreKind::kInstances
              : StoreKind::kReplacements;
      CPPUNIT_ASSERT(value ==
                     DecodeObject(kind, object.dump(), kEpoch).m_value);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreObjectsTest);

}  // namespace
}  // namespace jasminelug::adapter
