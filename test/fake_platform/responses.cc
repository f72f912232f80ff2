#include "test/fake_platform/responses.h"

#include <variant>

namespace jasminelug::fake_platform {
namespace {

using platform::ErrorBody;
using platform::ErrorKind;

constexpr int kOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpUnavailable = 503;

http2::Response JsonResponse(int status, const nlohmann::json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump()};
}

http2::Response JsonResponse(int status, const ErrorBody& body) {
  return JsonResponse(status, platform::ToJson(body));
}

}  // namespace

http2::Response OkResponse(const nlohmann::json& body) {
  return JsonResponse(kOk, body);
}

http2::Response ErrorResponse(const platform::Error& error) {
  ErrorBody body{"", error.m_message, true, error.m_current,
                 error.m_deleted_by};
  switch (error.m_kind) {
    case ErrorKind::kNotFound:
      body.m_code = "not_found";
      return JsonResponse(kHttpNotFound, body);
    case ErrorKind::kConflict:
      body.m_code = "conflict";
      return JsonResponse(kHttpConflict, body);
    default:
      return BadRequest(error.m_message);
  }
}

http2::Response BadRequest(const std::string& message) {
  return JsonResponse(kHttpBadRequest, ErrorBody{"bad_request", message, true,
                                                 std::nullopt, ""});
}

http2::Response Unavailable() {
  return JsonResponse(
      kHttpUnavailable,
      ErrorBody{"unavailable", "the platform is down", true, std::nullopt, ""});
}

http2::Response WatchResponse(const platform::WatchAnswer& answer) {
  if (const auto* changes = std::get_if<platform::ChangeList>(&answer)) {
    return OkResponse(platform::ToJson(*changes));
  }
  return JsonResponse(kHttpGone, ErrorBody{"revision_too_old", "list again",
                                           true, std::nullopt, ""});
}

}  // namespace jasminelug::fake_platform
