#include "src/core/lease_record.h"

#include <nlohmann/json.hpp>

namespace jasminelug::core {
namespace {

using Json = nlohmann::json;

Json EncodeMember(const PeerSender& member) {
  return {{"instance", member.m_instance.str()},
          {"incarnation", member.m_incarnation.value()}};
}

PeerSender DecodeMember(const Json& json) {
  return {InstanceId(json.at("instance").get<std::string>()),
          Incarnation(json.at("incarnation").get<uint64_t>())};
}

}  // namespace

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  Json cell = Json::array();
  for (const PeerSender& member : record.m_cell) {
    cell.push_back(EncodeMember(member));
  }
  const Json json = {{"incarnation", record.m_incarnation.value()},
                     {"series", record.m_series},
                     {"lease_us", record.m_duration.count()},
                     {"cell", std::move(cell)}};
  return json.dump();
}

std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    LeaseRecord record;
    record.m_incarnation = Incarnation(json.at("incarnation").get<uint64_t>());
    record.m_series = json.value("series", uint64_t{1});
    record.m_duration = Duration(json.at("lease_us").get<Duration::rep>());
    for (const Json& member : json.at("cell")) {
      record.m_cell.push_back(DecodeMember(member));
    }
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace jasminelug::core
