#include "src/platform/internal/answer.h"

#include <utility>

#include "src/platform/object_json.h"

namespace jasminelug::platform::internal {
namespace {

constexpr int kOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooManyRequests = 429;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

// Returns the error kind of a failed call that may have been processed.
ErrorKind AmbiguousFailureKind(Effect effect) {
  return effect == Effect::kChange ? ErrorKind::kOutcomeUnknown
                                   : ErrorKind::kUnavailable;
}

ErrorKind KindOf(int status, const ErrorBody& body, Effect effect) {
  switch (status) {
    case kHttpNotFound:
      return ErrorKind::kNotFound;
    case kHttpConflict:
      return ErrorKind::kConflict;
    case kHttpTooManyRequests:
      return ErrorKind::kUnavailable;
    case kHttpRequestTimeout:
      return AmbiguousFailureKind(effect);
    default:
      break;
  }
  if (status >= kFirstClientError && status < kFirstServerError) {
    return ErrorKind::kRefused;
  }
  return body.m_is_not_applied ? ErrorKind::kUnavailable
                               : AmbiguousFailureKind(effect);
}

Error FromTransport(const http2::ClientError& error, Effect effect) {
  const bool is_not_sent = error.m_kind == http2::ClientError::Kind::kNotSent;
  return Error{
      is_not_sent ? ErrorKind::kUnavailable : AmbiguousFailureKind(effect),
      error.m_message, std::nullopt, ""};
}

Error FromResponse(const http2::Response& response, Effect effect) {
  ErrorBody body = ParseErrorBody(response.m_body);
  return Error{KindOf(response.m_status, body, effect),
               std::to_string(response.m_status) + " " + body.m_message,
               std::move(body.m_current), std::move(body.m_deleted_by)};
}

}  // namespace

Result<std::string, Error> InterpretAnswer(const http2::ClientResult& result,
                                           Effect effect) {
  if (!IsOk(result)) {
    return FromTransport(GetError(result), effect);
  }
  const http2::Response& response = GetValue(result);
  if (response.m_status != kOk) {
    return FromResponse(response, effect);
  }
  return response.m_body;
}

Error UnreadableAnswer(Effect effect) {
  return Error{AmbiguousFailureKind(effect), "unreadable answer", std::nullopt,
               ""};
}

}  // namespace jasminelug::platform::internal
