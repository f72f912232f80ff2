#include "src/gossip/report_codec.h"

#include <exception>

#include "gossip_types.h"
#include "src/gossip/thrift_bytes.h"

namespace jasminelug::gossip {
namespace {

// Bounds on strings, in bytes, and on lists. Valid reports hold no longer ones.
constexpr internal::ThriftLimits kLimits{4096, 4096};

wire::Proof ToWire(const gateway::VerifiedRevision& proof) {
  wire::Proof out;
  out.revision = static_cast<std::int64_t>(proof.m_revision.value());
  out.age_us = proof.m_age.count();
  return out;
}

wire::Demand ToWire(const gateway::CustomerDemand& demand) {
  wire::Demand out;
  out.customer = demand.m_customer.str();
  out.operations_per_second = demand.m_operations_per_second;
  out.admitted_per_second = demand.m_admitted_per_second;
  return out;
}

wire::Opinions ToWire(const gateway::GroupReachability& reachability) {
  wire::Opinions out;
  out.group = reachability.m_group.str();
  out.reachable = reachability.m_reachable;
  out.unreachable = reachability.m_unreachable;
  return out;
}

wire::Load ToWire(const gateway::CustomerLoad& load) {
  wire::Load out;
  out.customer = load.m_customer.str();
  out.demand = load.m_others_demand;
  out.admitted = load.m_others_admitted;
  out.available = load.m_available;
  out.live_holders = load.m_live_holders;
  return out;
}

wire::Summary ToWire(const gateway::FleetSummary& summary) {
  wire::Summary out;
  out.complete = summary.m_complete;
  for (const gateway::CustomerLoad& load : summary.m_loads) {
    out.loads.push_back(ToWire(load));
  }
  for (const gateway::GroupReachability& item : summary.m_reachability) {
    out.opinions.push_back(ToWire(item));
  }
  return out;
}

wire::Cell ToWire(const gateway::CellDigest& digest) {
  wire::Cell out;
  out.zone = digest.m_zone.str();
  for (const gateway::CustomerDemand& demand : digest.m_demand) {
    out.demand.push_back(ToWire(demand));
  }
  for (const gateway::GroupReachability& item : digest.m_reachability) {
    out.opinions.push_back(ToWire(item));
  }
  out.acknowledged = static_cast<std::int64_t>(digest.m_acknowledged.value());
  out.instances = static_cast<std::int64_t>(digest.m_instances.value());
  return out;
}

wire::Copy ToWire(const gateway::CopyRevision& copy) {
  wire::Copy out;
  out.kind = static_cast<std::int32_t>(copy.m_kind);
  out.changed = static_cast<std::int64_t>(copy.m_changed.value());
  out.complete = static_cast<std::int64_t>(copy.m_complete.value());
  return out;
}

wire::Report ToWire(const gateway::PeerReport& report) {
  wire::Report out;
  out.sender = report.m_sender.str();
  out.incarnation = static_cast<std::int64_t>(report.m_incarnation.value());
  out.address = report.m_address.str();
  out.sequence = static_cast<std::int64_t>(report.m_sequence);
  for (const gateway::ReportEcho& echo : report.m_echoes) {
    wire::Echo item;
    item.instance = echo.m_instance.str();
    item.incarnation = static_cast<std::int64_t>(echo.m_incarnation.value());
    item.sequence = static_cast<std::int64_t>(echo.m_sequence);
    item.held_us = echo.m_held.count();
    out.echoes.push_back(item);
  }
  for (const gateway::CustomerDemand& demand : report.m_demand) {
    out.demand.push_back(ToWire(demand));
  }
  for (const gateway::AgedSample& sample : report.m_samples) {
    wire::Sample item;
    item.group = sample.m_group.str();
    item.age_us = sample.m_age.count();
    item.term = static_cast<std::int64_t>(sample.m_position.m_term.value());
    item.index = static_cast<std::int64_t>(sample.m_position.m_index);
    out.samples.push_back(item);
  }
  for (const gateway::GroupName& group : report.m_unreachable) {
    out.unreachable.push_back(group.str());
  }
  for (const gateway::GroupName& group : report.m_reachable) {
    out.reachable.push_back(group.str());
  }
  out.acknowledged = static_cast<std::int64_t>(report.m_acknowledged.value());
  for (const gateway::CellDigest& digest : report.m_cells) {
    out.cells.push_back(ToWire(digest));
  }
  if (report.m_configuration) {
    out.__set_configuration(ToWire(*report.m_configuration));
  }
  if (report.m_replacements) {
    out.__set_replacements(ToWire(*report.m_replacements));
  }
  for (const gateway::CopyRevision& copy : report.m_copies) {
    out.copies.push_back(ToWire(copy));
  }
  out.is_head = report.m_is_head;
  if (report.m_summary) {
    out.__set_summary(ToWire(*report.m_summary));
  }
  return out;
}

std::uint64_t ToUnsigned(std::int64_t number) {
  return static_cast<std::uint64_t>(number);
}

gateway::VerifiedRevision FromWire(const wire::Proof& proof) {
  return {gateway::Revision(ToUnsigned(proof.revision)),
          gateway::Duration(proof.age_us)};
}

gateway::CustomerDemand FromWire(const wire::Demand& demand) {
  return {gateway::CustomerName(demand.customer), demand.operations_per_second,
          demand.admitted_per_second};
}

gateway::GroupReachability FromWire(const wire::Opinions& opinions) {
  return {gateway::GroupName(opinions.group), opinions.reachable,
          opinions.unreachable};
}

gateway::CustomerLoad FromWire(const wire::Load& load) {
  return {gateway::CustomerName(load.customer), load.demand, load.admitted,
          load.available, load.live_holders};
}

gateway::FleetSummary FromWire(const wire::Summary& summary) {
  gateway::FleetSummary out;
  out.m_complete = summary.complete;
  for (const wire::Load& load : summary.loads) {
    out.m_loads.push_back(FromWire(load));
  }
  for (const wire::Opinions& opinions : summary.opinions) {
    out.m_reachability.push_back(FromWire(opinions));
  }
  return out;
}

gateway::CellDigest FromWire(const wire::Cell& cell) {
  gateway::CellDigest out;
  out.m_zone = gateway::ZoneName(cell.zone);
  for (const wire::Demand& demand : cell.demand) {
    out.m_demand.push_back(FromWire(demand));
  }
  for (const wire::Opinions& opinions : cell.opinions) {
    out.m_reachability.push_back(FromWire(opinions));
  }
  out.m_acknowledged = gateway::Revision(ToUnsigned(cell.acknowledged));
  out.m_instances = gateway::Revision(ToUnsigned(cell.instances));
  return out;
}

gateway::CopyRevision FromWire(const wire::Copy& copy) {
  return {internal::ToEnum(copy.kind, gateway::StoreKind::kReplacements),
          gateway::Revision(ToUnsigned(copy.changed)),
          gateway::Revision(ToUnsigned(copy.complete))};
}

gateway::PeerReport FromWire(const wire::Report& report) {
  gateway::PeerReport out;
  out.m_sender = gateway::InstanceId(report.sender);
  out.m_incarnation = gateway::Incarnation(ToUnsigned(report.incarnation));
  out.m_sequence = ToUnsigned(report.sequence);
  out.m_address = gateway::Address(report.address);
  for (const wire::Echo& echo : report.echoes) {
    out.m_echoes.push_back({gateway::InstanceId(echo.instance),
                            gateway::Incarnation(ToUnsigned(echo.incarnation)),
                            ToUnsigned(echo.sequence),
                            gateway::Duration(echo.held_us)});
  }
  for (const wire::Demand& demand : report.demand) {
    out.m_demand.push_back(FromWire(demand));
  }
  for (const wire::Sample& sample : report.samples) {
    out.m_samples.push_back(
        {gateway::GroupName(sample.group),
         gateway::Duration(sample.age_us),
         {gateway::Term(ToUnsigned(sample.term)), ToUnsigned(sample.index)}});
  }
  for (const std::string& group : report.unreachable) {
    out.m_unreachable.emplace_back(group);
  }
  for (const std::string& group : report.reachable) {
    out.m_reachable.emplace_back(group);
  }
  out.m_acknowledged = gateway::Revision(ToUnsigned(report.acknowledged));
  for (const wire::Cell& cell : report.cells) {
    out.m_cells.push_back(FromWire(cell));
  }
  if (report.__isset.configuration) {
    out.m_configuration = FromWire(report.configuration);
  }
  if (report.__isset.replacements) {
    out.m_replacements = FromWire(report.replacements);
  }
  for (const wire::Copy& copy : report.copies) {
    out.m_copies.push_back(FromWire(copy));
  }
  out.m_is_head = report.is_head;
  if (report.__isset.summary) {
    out.m_summary = FromWire(report.summary);
  }
  return out;
}

}  // namespace

std::string EncodeReport(const gateway::PeerReport& report) {
  return internal::WriteWire(ToWire(report));
}

Result<gateway::PeerReport, CodecError> DecodeReport(std::string_view bytes) {
  try {
    return FromWire(internal::ReadWire<wire::Report>(bytes, kLimits));
  } catch (const std::exception& error) {
    return CodecError{error.what()};
  }
}

}  // namespace jasminelug::gossip
