#include "src/gossip/state_codec.h"

#include <cstdint>
#include <exception>
#include <utility>

#include "gossip_types.h"
#include "src/gossip/thrift_bytes.h"

namespace jasminelug::gossip {
namespace {

using gateway::StoreKind;
using internal::ToEnum;

// Bounds on strings, in bytes, and on lists. A message between instances holds
// at most 1 MiB.
constexpr internal::ThriftLimits kLimits{1 << 20, 64 * 1024};

std::int64_t ToWire(gateway::Revision revision) {
  return static_cast<std::int64_t>(revision.value());
}

gateway::Revision RevisionFromWire(std::int64_t number) {
  return gateway::Revision(static_cast<std::uint64_t>(number));
}

void SetBody(const gateway::StateRequest& request, wire::StateMessage& out) {
  wire::StateRequest body;
  body.kind = static_cast<std::int32_t>(request.m_kind);
  body.changed = ToWire(request.m_changed);
  for (const gateway::KnownObject& known : request.m_known) {
    wire::KnownObject item;
    item.name = known.m_name;
    item.revision = ToWire(known.m_revision);
    body.known.push_back(std::move(item));
  }
  if (request.m_number) {
    body.__set_number(static_cast<std::int64_t>(*request.m_number));
  }
  out.__set_request(body);
}

gateway::StateRequest FromWire(wire::StateRequest&& body) {
  gateway::StateRequest out;
  out.m_kind = ToEnum(body.kind, StoreKind::kReplacements);
  out.m_changed = RevisionFromWire(body.changed);
  for (wire::KnownObject& item : body.known) {
    out.m_known.push_back(
        {std::move(item.name), RevisionFromWire(item.revision)});
  }
  if (body.__isset.number) {
    out.m_number = static_cast<std::uint64_t>(body.number);
  }
  return out;
}

void SetBody(const gateway::StateUpdate& update, wire::StateMessage& out) {
  wire::StateUpdate body;
  body.kind = static_cast<std::int32_t>(update.m_kind);
  body.base = ToWire(update.m_base);
  body.changed = ToWire(update.m_changed);
  body.objects = update.m_objects;
  body.removed = update.m_removed;
  if (update.m_age) {
    body.__set_age_us(update.m_age->count());
  }
  if (update.m_number) {
    body.__set_number(static_cast<std::int64_t>(*update.m_number));
  }
  out.__set_update(body);
}

gateway::StateUpdate FromWire(wire::StateUpdate&& body) {
  gateway::StateUpdate out;
  out.m_kind = ToEnum(body.kind, StoreKind::kReplacements);
  out.m_base = RevisionFromWire(body.base);
  out.m_changed = RevisionFromWire(body.changed);
  out.m_objects = std::move(body.objects);
  out.m_removed = std::move(body.removed);
  if (body.__isset.age_us) {
    if (body.age_us < 0) {
      throw apache::thrift::TException("a negative age");
    }
    out.m_age = gateway::Duration(body.age_us);
  }
  if (body.__isset.number) {
    out.m_number = static_cast<std::uint64_t>(body.number);
  }
  return out;
}

gateway::StateMessage FromWire(wire::StateMessage&& message) {
  if (message.__isset.request) {
    return FromWire(std::move(message.request));
  }
  if (message.__isset.update) {
    return FromWire(std::move(message.update));
  }
  throw apache::thrift::TException("a message of an unknown kind");
}

}  // namespace

std::string EncodeState(const gateway::StateMessage& message) {
  wire::StateMessage out;
  std::visit([&out](const auto& body) { SetBody(body, out); }, message);
  return internal::WriteWire(out);
}

Result<gateway::StateMessage, CodecError> DecodeState(std::string_view bytes) {
  try {
    return FromWire(internal::ReadWire<wire::StateMessage>(bytes, kLimits));
  } catch (const std::exception& error) {
    return CodecError{error.what()};
  }
}

}  // namespace jasminelug::gossip
