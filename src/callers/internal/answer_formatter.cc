#include "src/callers/internal/answer_formatter.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace jasminelug::callers::internal {
namespace {

using Json = nlohmann::ordered_json;

http2::Response MakeResponse(int status, std::string body) {
  return {status,
          {{"content-type", "application/json"}, {"cache-control", "no-store"}},
          std::move(body)};
}

Json FormatRow(const Row& row) {
  Json values = Json::array();
  for (const Value& value : row) {
    values.push_back(value ? Json(*value) : Json(nullptr));
  }
  return values;
}

Json FormatServedBy(const ServedBy& served_by) {
  return {{"instance", served_by.m_instance},
          {"member", served_by.m_member},
          {"role", served_by.m_role}};
}

Json FormatSuccess(const CallerSuccess& success) {
  Json body;
  body["columns"] = success.m_columns;
  body["rows"] = Json::array();
  for (const Row& row : success.m_rows) {
    body["rows"].push_back(FormatRow(row));
  }
  body["affected"] = success.m_affected;
  body["session"] = success.m_session;
  if (success.m_transaction) {
    body["transaction"] = *success.m_transaction;
  }
  if (success.m_served_by) {
    body["served_by"] = FormatServedBy(*success.m_served_by);
  }
  body["replayed"] = success.m_replayed;
  return body;
}

Json FormatExecution(Execution execution) {
  if (execution == Execution::kUnknown) {
    return "unknown";
  }
  return execution == Execution::kNotRun;
}

// Formats the value of a retry-after header, which is in whole seconds. Rounds
// up, so that callers don't retry too early.
std::string FormatRetryAfter(std::chrono::milliseconds delay) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

http2::Response FormatError(const CallerError& error) {
  Json fields;
  fields["code"] = GetName(error.m_code);
  fields["message"] = error.m_message;
  if (error.m_field) {
    fields["field"] = *error.m_field;
  }
  fields["not_run"] = FormatExecution(error.m_execution);
  if (error.m_retry_after) {
    fields["retry_after_ms"] = error.m_retry_after->count();
  }
  if (error.m_session) {
    fields["session"] = *error.m_session;
  }
  Json body;
  body["error"] = std::move(fields);
  http2::Response response =
      MakeResponse(GetHttpStatus(error.m_code),
                   body.dump(-1, ' ', false, Json::error_handler_t::replace));
  if (error.m_retry_after) {
    response.m_headers.push_back(
        {"retry-after", FormatRetryAfter(*error.m_retry_after)});
  }
  return response;
}

}  // namespace

http2::Response FormatAnswer(const CallerAnswer& answer) {
  if (!IsOk(answer)) {
    return FormatError(GetError(answer));
  }
  try {
    return MakeResponse(200, FormatSuccess(GetValue(answer)).dump());
  } catch (const Json::type_error&) {
    return FormatError({ErrorCode::kInternal,
                        "the request ran, but its result is not UTF-8",
                        std::nullopt, Execution::kRun, std::nullopt});
  }
}

http2::Response FormatProbe(bool ok) {
  return ok ? MakeResponse(200, R"({"ok":true})")
            : MakeResponse(503, R"({"ok":false})");
}

}  // namespace jasminelug::callers::internal
