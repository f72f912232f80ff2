#include "src/callers/internal/request_parser.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "src/common/object_reader.h"

namespace jasminelug::callers::internal {
namespace {

// 2^53. A double can't represent all integers with a larger magnitude.
constexpr double kMaxExactDouble = 9007199254740992.0;

constexpr std::size_t kMaxRequestIdBytes = 128;

// Maximum size of an error message or field name. Without a limit, a caller
// could make them as large as its request's body, since they contain the names
// of unknown fields.
constexpr std::size_t kMaxMessageBytes = 2048;

CallerError MakeRefusal(ErrorCode code, const std::string& message) {
  return {code, message, std::nullopt, Execution::kNotRun, std::nullopt};
}

CallerError MakeFieldRefusal(const FieldErrors& errors) {
  CallerError refusal =
      MakeRefusal(ErrorCode::kInvalidRequest,
                  FormatFieldErrors(errors).substr(0, kMaxMessageBytes));
  if (!errors.empty() && !errors.front().m_field.empty()) {
    refusal.m_field = errors.front().m_field.substr(0, kMaxMessageBytes);
  }
  return refusal;
}

// Returns whether `text` contains a zero byte. A database ends a text at the
// first zero byte, and would then run a different statement than the caller
// sent.
bool HasZeroByte(const std::string& text) {
  return text.find('\0') != std::string::npos;
}

void CheckText(ObjectReader& reader,
               const std::string& name,
               const std::string& text) {
  reader.Check(!HasZeroByte(text), name, "holds a zero byte");
}

void ReadText(ObjectReader& reader, const std::string& name, std::string* out) {
  reader.Required(name, out);
  CheckText(reader, name, *out);
  const nlohmann::json* value = reader.Find(name);
  reader.Check(!value || !value->is_string() || !out->empty(), name,
               "is empty");
}

void ReadText(ObjectReader& reader,
              const std::string& name,
              std::optional<std::string>* out) {
  reader.Optional(name, out);
  CheckText(reader, name, out->value_or(""));
  reader.Check(!out->has_value() || !(*out)->empty(), name, "is empty");
}

void ReadRequestId(ObjectReader& reader, std::optional<std::string>* out) {
  ReadText(reader, "request_id", out);
  reader.Check(
      out->value_or("").size() <= kMaxRequestIdBytes, "request_id",
      "is longer than " + std::to_string(kMaxRequestIdBytes) + " bytes");
}

void ReadDeadline(ObjectReader& reader,
                  std::optional<std::chrono::milliseconds>* out) {
  reader.Optional("deadline_ms", out);
  reader.Check(!out->has_value() || (*out)->count() > 0, "deadline_ms",
               "must be above zero");
}

bool IsExactNumber(const nlohmann::json& value) {
  return value.is_number_integer() ||
         std::abs(value.get<double>()) < kMaxExactDouble;
}

// Converts one item of "params" to its text form. Adds an error to `reader` if
// the item has a type or a value that can't be converted exactly.
Parameter ReadParameter(ObjectReader& reader,
                        const std::string& name,
                        const nlohmann::json& value) {
  if (value.is_null()) {
    return std::nullopt;
  }
  if (value.is_string()) {
    const auto text = value.get<std::string>();
    CheckText(reader, name, text);
    return text;
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "true" : "false";
  }
  if (!value.is_number()) {
    reader.AddError(name, "must be a string, a number, true, false or null");
    return std::nullopt;
  }
  reader.Check(IsExactNumber(value), name,
               "is a number too large to be exact; send it as a string");
  return value.dump();
}

void ReadParameters(ObjectReader& reader, std::vector<Parameter>* out) {
  const nlohmann::json* list = reader.Find("params");
  if (!list) {
    return;
  }
  if (!list->is_array()) {
    reader.AddError("params", "must be a list");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string name = "params[" + std::to_string(i) + "]";
    out->push_back(ReadParameter(reader, name, (*list)[i]));
  }
}

void ReadStatement(ObjectReader& reader, StatementRequest* request) {
  ReadText(reader, "database", &request->m_database);
  ReadText(reader, "profile", &request->m_profile);
  ReadText(reader, "sql", &request->m_sql);
  ReadParameters(reader, &request->m_params);
  reader.Optional("read_only", &request->m_read_only);
  ReadText(reader, "transaction", &request->m_transaction);
  ReadDeadline(reader, &request->m_deadline);
  ReadRequestId(reader, &request->m_request_id);
  reader.Optional("idempotent", &request->m_idempotent);
  ReadText(reader, "session", &request->m_session);
  reader.Optional("sequence", &request->m_sequence);
  reader.Optional("max_staleness_ms", &request->m_max_staleness);
}

void ReadBegin(ObjectReader& reader, BeginRequest* request) {
  ReadText(reader, "database", &request->m_database);
  ReadText(reader, "profile", &request->m_profile);
  reader.Optional("read_only", &request->m_read_only);
  ReadDeadline(reader, &request->m_deadline);
  ReadText(reader, "session", &request->m_session);
}

// Reads a CommitRequest or a RollbackRequest; both have the same fields.
template <typename T>
void ReadTransactionEnd(ObjectReader& reader, T* request) {
  ReadText(reader, "transaction", &request->m_transaction);
  ReadRequestId(reader, &request->m_request_id);
  ReadText(reader, "session", &request->m_session);
  ReadDeadline(reader, &request->m_deadline);
}

using OperationResult = Result<CallerOperation, FieldErrors>;

template <typename T>
OperationResult ReadBody(const std::string& body,
                         void (*hook)(ObjectReader&, T*)) {
  Result<T, FieldErrors> result =
      ReadDocument<T>(body, JsonComments::kRefused, hook);
  if (!IsOk(result)) {
    return GetError(result);
  }
  return CallerOperation(TakeValue(std::move(result)));
}

// A path of the API and the function that parses its request body.
struct Route {
  const char* m_path;
  OperationResult (*m_read)(const std::string& body);
};

constexpr Route kRoutes[] = {
    {"/v1/statement",
     [](const std::string& body) {
       return ReadBody<StatementRequest>(body, ReadStatement);
     }},
    {"/v1/begin",
     [](const std::string& body) {
       return ReadBody<BeginRequest>(body, ReadBegin);
     }},
    {"/v1/commit",
     [](const std::string& body) {
       return ReadBody<CommitRequest>(body, ReadTransactionEnd<CommitRequest>);
     }},
    {"/v1/rollback",
     [](const std::string& body) {
       return ReadBody<RollbackRequest>(body,
                                        ReadTransactionEnd<RollbackRequest>);
     }},
};

const Route* FindRoute(const std::string& path) {
  const auto* found =
      std::find_if(std::begin(kRoutes), std::end(kRoutes),
                   [&](const Route& route) { return path == route.m_path; });
  return found == std::end(kRoutes) ? nullptr : found;
}

bool StartsWithBearer(std::string_view value) {
  constexpr std::string_view kScheme = "bearer ";
  if (value.size() < kScheme.size()) {
    return false;
  }
  // The scheme's name is case-insensitive (RFC 9110, section 11.1).
  return std::equal(
      kScheme.begin(), kScheme.end(), value.begin(),
      [](char expected, char actual) {
        const bool upper = actual >= 'A' && actual <= 'Z';
        return expected ==
               (upper ? static_cast<char>(actual - 'A' + 'a') : actual);
      });
}

// Returns the key of the request. More than one authorization header is an
// error, since the keys could belong to different customers.
Result<CallerKey, CallerError> ReadKey(const http2::Headers& headers) {
  const auto is_authorization = [](const http2::Header& header) {
    return header.m_name == "authorization";
  };
  const auto count =
      std::count_if(headers.begin(), headers.end(), is_authorization);
  if (count > 1) {
    return MakeRefusal(ErrorCode::kInvalidRequest,
                       "there is more than one authorization header");
  }
  const std::string value =
      http2::FindHeader(headers, "authorization").value_or("");
  constexpr std::size_t kSchemeSize = 7;
  if (!StartsWithBearer(value) || value.size() == kSchemeSize) {
    return MakeRefusal(ErrorCode::kKeyMissing,
                       "the header \"authorization: Bearer KEY\" is missing");
  }
  return CallerKey(value.substr(kSchemeSize));
}

}  // namespace

std::string GetPath(const http2::Request& request) {
  return request.m_path.substr(0, request.m_path.find('?'));
}

Result<CallerRequest, CallerError> ParseRequest(const http2::Request& request) {
  const Route* route = FindRoute(GetPath(request));
  if (!route) {
    return MakeRefusal(ErrorCode::kUnknownPath, "there is no such path");
  }
  if (request.m_method != "POST") {
    return MakeRefusal(ErrorCode::kMethodNotAllowed, "the method must be POST");
  }
  const Result<CallerKey, CallerError> key = ReadKey(request.m_headers);
  if (!IsOk(key)) {
    return GetError(key);
  }
  OperationResult operation = route->m_read(request.m_body);
  if (!IsOk(operation)) {
    return MakeFieldRefusal(GetError(operation));
  }
  return CallerRequest{GetValue(key), TakeValue(std::move(operation))};
}

}  // namespace jasminelug::callers::internal
