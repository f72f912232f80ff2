#include "src/core/configuration_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "src/common/object_reader.h"

namespace jasminelug::core {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr size_t kMaxNameBytes = 200;
// Limits the rate so that the product of a rate and a duration fits into 64
// bits.
constexpr uint64_t kMaxRatePerSecond = 1'000'000'000;
constexpr milliseconds kMaxProfileTime = std::chrono::hours(1);
constexpr milliseconds kMaxLease = std::chrono::hours(1);
constexpr size_t kDigestHexDigits = 64;
constexpr size_t kMinSaltBytes = 16;
constexpr size_t kMaxSaltBytes = 128;
constexpr size_t kMaxMembers = 15;
constexpr uint32_t kMaxSlots = 10'000;
constexpr uint32_t kMaxConnections = 100'000;

bool IsNameText(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

// Reports an error if the object's name is invalid. The platform should never
// have accepted such a name.
void CheckObjectName(ObjectReader& reader, const std::string& name) {
  reader.Check(IsNameText(name), "",
               "the object's name must have 1 to 200 bytes");
}

template <typename Tag>
void ReadName(ObjectReader& reader, const char* field, Name<Tag>* out) {
  std::string text;
  const bool present = reader.Find(field) != nullptr;
  reader.Required(field, &text);
  if (present) {
    reader.Check(IsNameText(text), field, "must have 1 to 200 bytes");
  }
  *out = Name<Tag>(std::move(text));
}

template <typename Tag>
void ReadNames(ObjectReader& reader,
               const char* field,
               std::vector<Name<Tag>>* out) {
  std::vector<std::string> texts;
  reader.Required(field, &texts);
  std::set<std::string> seen;
  for (std::string& text : texts) {
    reader.Check(IsNameText(text), field, "holds a name that is empty or long");
    reader.Check(seen.insert(text).second, field, "holds a name twice");
    out->emplace_back(std::move(text));
  }
}

void ReadTime(ObjectReader& reader,
              const char* field,
              milliseconds limit,
              Duration* out) {
  milliseconds time{};
  reader.Optional(field, &time);
  reader.Check(time <= limit, field, "must be at most one hour");
  *out = time;
}

bool IsPort(std::string_view text) {
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  return error == std::errc() && stop == end && port >= 1 && port <= 65535;
}

// Returns whether `text` has the form "host:port". The host is an IP address,
// in brackets for IPv6.
bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  return colon != std::string::npos && colon > 0 &&
         IsPort(std::string_view(text).substr(colon + 1));
}

void ReadAddress(ObjectReader& reader, const char* field, Address* out) {
  std::string text;
  const bool present = reader.Find(field) != nullptr;
  reader.Required(field, &text);
  if (present) {
    reader.Check(IsAddress(text), field, "must read host:port");
  }
  *out = Address(std::move(text));
}

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

void ReadProfile(ObjectReader& reader, Profile* profile) {
  CheckObjectName(reader, profile->m_name.str());
  reader.OptionalEnum<Consistency>("consistency",
                                   {{"strong", Consistency::kStrong},
                                    {"session", Consistency::kSession},
                                    {"stale", Consistency::kStale}},
                                   &profile->m_consistency);
  ReadTime(reader, "max_staleness_ms", kMaxProfileTime,
           &profile->m_max_staleness);
  reader.Check(profile->m_consistency != Consistency::kStale ||
                   profile->m_max_staleness > Duration::zero(),
               "max_staleness_ms", "must be above 0 where reads may be stale");
  reader.Required("rate_per_second", &profile->m_rate_per_second);
  reader.Check(profile->m_rate_per_second <= kMaxRatePerSecond,
               "rate_per_second", "must be at most 1000000000");
  reader.Required("burst", &profile->m_burst);
  reader.Check(profile->m_burst <= kMaxRatePerSecond, "burst",
               "must be at most 1000000000");
  reader.Check(profile->m_rate_per_second == 0 || profile->m_burst > 0, "burst",
               "must be above 0 where there is a rate");
  reader.Optional("open_to_all", &profile->m_open_to_all);
  ReadTime(reader, "queue_wait_ms", kMaxProfileTime, &profile->m_queue_wait);
}

void ReadCustomer(ObjectReader& reader, Customer* customer) {
  CheckObjectName(reader, customer->m_name.str());
  ReadNames(reader, "profiles", &customer->m_profiles);
  ReadNames(reader, "databases", &customer->m_databases);
}

void ReadKeyGrant(ObjectReader& reader, KeyGrant* grant) {
  CheckObjectName(reader, grant->m_id.str());
  reader.Check(grant->m_id.str().find('.') == std::string::npos, "",
               "the key's id must not contain a dot");
  ReadName(reader, "customer", &grant->m_customer);
  reader.Required("digest", &grant->m_digest);
  const bool is_digest =
      grant->m_digest.size() == kDigestHexDigits &&
      std::all_of(grant->m_digest.begin(), grant->m_digest.end(), IsLowerHex);
  reader.Check(is_digest, "digest", "must be 64 lower-case hexadecimal digits");
  reader.Required("salt", &grant->m_salt);
  reader.Check(grant->m_salt.size() >= kMinSaltBytes &&
                   grant->m_salt.size() <= kMaxSaltBytes,
               "salt", "must have 16 to 128 bytes");
  reader.Optional("withdrawn", &grant->m_withdrawn);
}

void ReadZone(ObjectReader& reader, Zone* zone) {
  CheckObjectName(reader, zone->m_name.str());
  reader.RequiredEnum<bool>("status", {{"in", false}, {"out", true}},
                            &zone->m_out);
}

void ReadMember(ObjectReader& reader, Member* member) {
  ReadName(reader, "id", &member->m_id);
  ReadAddress(reader, "address", &member->m_address);
  ReadName(reader, "zone", &member->m_zone);
}

void CheckMembers(ObjectReader& reader, const std::vector<Member>& members) {
  reader.Check(!members.empty() && members.size() <= kMaxMembers, "members",
               "must list 1 to 15 members");
  std::set<MemberId> ids;
  std::set<Address> addresses;
  for (const Member& member : members) {
    reader.Check(ids.insert(member.m_id).second, "members",
                 "holds a member's id twice");
    reader.Check(addresses.insert(member.m_address).second, "members",
                 "holds an address twice");
  }
}

void ReadDatabase(ObjectReader& reader, Database* database) {
  CheckObjectName(reader, database->m_name.str());
  reader.Objects<Member>("members", &database->m_members, ReadMember);
  CheckMembers(reader, database->m_members);
  reader.Required("slots", &database->m_slots);
  reader.Check(database->m_slots >= 1 && database->m_slots <= kMaxSlots,
               "slots", "must be 1 to 10000");
  reader.Required("connections", &database->m_connections);
  reader.Check(database->m_connections >= 1 &&
                   database->m_connections <= kMaxConnections,
               "connections", "must be 1 to 100000");
  reader.OptionalEnum<bool>("status", {{"in", false}, {"leaving", true}},
                            &database->m_leaving);
}

void ReadCellMember(ObjectReader& reader, PeerSender* member) {
  ReadName(reader, "instance", &member->m_instance);
  uint64_t incarnation = 0;
  reader.Required("incarnation", &incarnation);
  member->m_incarnation = Incarnation(incarnation);
}

void ReadInstanceRecord(ObjectReader& reader, InstanceRecord* record) {
  CheckObjectName(reader, record->m_id.str());
  ReadAddress(reader, "address", &record->m_address);
  ReadAddress(reader, "caller_address", &record->m_caller_address);
  ReadName(reader, "zone", &record->m_zone);
  uint64_t incarnation = 0;
  reader.Required("incarnation", &incarnation);
  record->m_incarnation = Incarnation(incarnation);
  reader.Optional("series", &record->m_series);
  Duration::rep lease_us = 0;
  reader.Required("lease_us", &lease_us);
  record->m_lease = Duration(lease_us);
  reader.Check(
      record->m_lease > Duration::zero() && record->m_lease <= kMaxLease,
      "lease_us", "must be above 0 and at most one hour");
  reader.Objects<PeerSender>("cell", &record->m_cell, ReadCellMember);
  reader.Optional("renewal", &record->m_renewal);
  reader.Optional("draining", &record->m_draining);
}

// Parses `value` into a copy of `empty`, which already contains the object's
// name.
template <typename T>
Result<T, FieldErrors> Parse(const std::string& value,
                             const T& empty,
                             void (*read)(ObjectReader&, T*)) {
  return ReadDocument<T>(value, JsonComments::kAllowed,
                         [&empty, read](ObjectReader& reader, T* out) {
                           *out = empty;
                           read(reader, out);
                         });
}

template <typename T>
FieldErrors ErrorsOf(const Result<T, FieldErrors>& result) {
  return IsOk(result) ? FieldErrors() : GetError(result);
}

template <typename Tag>
Json NamesToJson(const std::vector<Name<Tag>>& names) {
  Json list = Json::array();
  for (const Name<Tag>& name : names) {
    list.push_back(name.str());
  }
  return list;
}

const char* NameOf(Consistency consistency) {
  switch (consistency) {
    case Consistency::kStrong:
      return "strong";
    case Consistency::kSession:
      return "session";
    case Consistency::kStale:
      return "stale";
  }
  return "session";
}

int64_t Milliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

Json ToJson(const Member& member) {
  return {{"id", member.m_id.str()},
          {"address", member.m_address.str()},
          {"zone", member.m_zone.str()}};
}

Json ToJson(const PeerSender& member) {
  return {{"instance", member.m_instance.str()},
          {"incarnation", member.m_incarnation.value()}};
}

template <typename T>
Json ListToJson(const std::vector<T>& items) {
  Json list = Json::array();
  for (const T& item : items) {
    list.push_back(ToJson(item));
  }
  return list;
}

// Returns the JSON text. Never throws: invalid UTF-8 is replaced.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

Result<Profile, FieldErrors> ParseProfile(const ProfileName& name,
                                          const std::string& value) {
  Profile empty;
  empty.m_name = name;
  return Parse(value, empty, ReadProfile);
}

Result<Customer, FieldErrors> ParseCustomer(const CustomerName& name,
                                            const std::string& value) {
  Customer empty;
  empty.m_name = name;
  return Parse(value, empty, ReadCustomer);
}

Result<KeyGrant, FieldErrors> ParseKeyGrant(const KeyId& id,
                                            const std::string& value) {
  KeyGrant empty;
  empty.m_id = id;
  return Parse(value, empty, ReadKeyGrant);
}

Result<Zone, FieldErrors> ParseZone(const ZoneName& name,
                                    const std::string& value) {
  Zone empty;
  empty.m_name = name;
  return Parse(value, empty, ReadZone);
}

Result<Database, FieldErrors> ParseDatabase(const DatabaseName& name,
                                            const std::string& value) {
  Database empty;
  empty.m_name = name;
  return Parse(value, empty, ReadDatabase);
}

Result<InstanceRecord, FieldErrors> ParseInstanceRecord(
    const InstanceId& id,
    const std::string& value) {
  InstanceRecord empty;
  empty.m_id = id;
  return Parse(value, empty, ReadInstanceRecord);
}

std::string Format(const Profile& profile) {
  return Dump({{"consistency", NameOf(profile.m_consistency)},
               {"max_staleness_ms", Milliseconds(profile.m_max_staleness)},
               {"rate_per_second", profile.m_rate_per_second},
               {"burst", profile.m_burst},
               {"open_to_all", profile.m_open_to_all},
               {"queue_wait_ms", Milliseconds(profile.m_queue_wait)}});
}

std::string Format(const Customer& customer) {
  return Dump({{"profiles", NamesToJson(customer.m_profiles)},
               {"databases", NamesToJson(customer.m_databases)}});
}

std::string Format(const KeyGrant& grant) {
  return Dump({{"customer", grant.m_customer.str()},
               {"digest", grant.m_digest},
               {"salt", grant.m_salt},
               {"withdrawn", grant.m_withdrawn}});
}

std::string Format(const Zone& zone) {
  return Dump({{"status", zone.m_out ? "out" : "in"}});
}

std::string Format(const Database& database) {
  return Dump({{"members", ListToJson(database.m_members)},
               {"slots", database.m_slots},
               {"connections", database.m_connections},
               {"status", database.m_leaving ? "leaving" : "in"}});
}

std::string Format(const InstanceRecord& record) {
  return Dump({{"address", record.m_address.str()},
               {"caller_address", record.m_caller_address.str()},
               {"zone", record.m_zone.str()},
               {"incarnation", record.m_incarnation.value()},
               {"series", record.m_series},
               {"lease_us", record.m_lease.count()},
               {"cell", ListToJson(record.m_cell)},
               {"renewal", record.m_renewal},
               {"draining", record.m_draining}});
}

FieldErrors ValidateObject(const ObjectKey& key, const std::string& value) {
  switch (key.m_kind) {
    case ObjectKind::kProfile:
      return ErrorsOf(ParseProfile(ProfileName(key.m_name), value));
    case ObjectKind::kCustomer:
      return ErrorsOf(ParseCustomer(CustomerName(key.m_name), value));
    case ObjectKind::kKey:
      return ErrorsOf(ParseKeyGrant(KeyId(key.m_name), value));
    case ObjectKind::kZone:
      return ErrorsOf(ParseZone(ZoneName(key.m_name), value));
    case ObjectKind::kDatabase:
      return ErrorsOf(ParseDatabase(DatabaseName(key.m_name), value));
    case ObjectKind::kInstance:
      return ErrorsOf(ParseInstanceRecord(InstanceId(key.m_name), value));
    case ObjectKind::kShare:
    case ObjectKind::kGroup:
      break;
  }
  return {};
}

bool IsConfigurationKind(ObjectKind kind) {
  return kind != ObjectKind::kInstance && kind != ObjectKind::kShare &&
         kind != ObjectKind::kGroup;
}

const char* ToString(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kProfile:
      return "profile";
    case ObjectKind::kCustomer:
      return "customer";
    case ObjectKind::kKey:
      return "key";
    case ObjectKind::kZone:
      return "zone";
    case ObjectKind::kDatabase:
      return "database";
    case ObjectKind::kInstance:
      return "instance";
    case ObjectKind::kShare:
      return "share";
    case ObjectKind::kGroup:
      return "group";
  }
  return "unknown";
}

}  // namespace jasminelug::core
