#include "src/operators/admin_error.h"

#include "src/common/object_reader.h"

namespace jasminelug::operators {
namespace {

using Kind = AdminError::Kind;

struct KindText {
  Kind m_kind;
  const char* m_name;
  int m_status;
};

constexpr KindText kKinds[] = {
    {Kind::kBadRequest, "bad_request", 400},
    {Kind::kNotFound, "not_found", 404},
    {Kind::kRefused, "refused", 409},
    {Kind::kUnavailable, "unavailable", 503},
    {Kind::kUnknown, "unknown", 504},
};

const KindText& Find(Kind kind) {
  for (const KindText& text : kKinds) {
    if (text.m_kind == kind) {
      return text;
    }
  }
  return kKinds[0];
}

void ReadError(ObjectReader& reader, AdminError* error) {
  reader.RequiredEnum<Kind>("code",
                            {{"bad_request", Kind::kBadRequest},
                             {"not_found", Kind::kNotFound},
                             {"refused", Kind::kRefused},
                             {"unavailable", Kind::kUnavailable},
                             {"unknown", Kind::kUnknown}},
                            &error->m_kind);
  reader.Required("message", &error->m_message);
}

}  // namespace

const char* ToString(Kind kind) {
  return Find(kind).m_name;
}

int StatusOf(Kind kind) {
  return Find(kind).m_status;
}

nlohmann::json ToJson(const AdminError& error) {
  return {{"error",
           {{"code", ToString(error.m_kind)}, {"message", error.m_message}}}};
}

Result<AdminError, FieldErrors> ParseAdminError(std::string_view text) {
  return ReadDocument<AdminError>(text, JsonComments::kRefused,
                                  [](ObjectReader& reader, AdminError* error) {
                                    reader.RequiredObject<AdminError>(
                                        "error", error, ReadError);
                                  });
}

}  // namespace jasminelug::operators
