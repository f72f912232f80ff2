#include "apps/jasminelugctl/admin_session.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

namespace jasminelug::ctl::internal {
namespace {

using operators::AdminError;

constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr int kOk = 200;

AdminError ToAdminError(const http2::ClientError& error) {
  const bool is_not_sent = error.m_kind == http2::ClientError::Kind::kNotSent;
  return {
      is_not_sent ? AdminError::Kind::kUnavailable : AdminError::Kind::kUnknown,
      error.m_message};
}

Result<std::string, AdminError> ReadResponse(
    const http2::ClientResult& result) {
  if (!IsOk(result)) {
    return ToAdminError(GetError(result));
  }
  const http2::Response& response = GetValue(result);
  if (response.m_status == kOk) {
    return response.m_body;
  }
  const Result<AdminError, FieldErrors> error =
      operators::ParseAdminError(response.m_body);
  if (IsOk(error)) {
    return GetValue(error);
  }
  return AdminError{AdminError::Kind::kUnknown,
                    "status " + std::to_string(response.m_status)};
}

}  // namespace

std::vector<AdminAnswer<std::string>> CallEndpoints(
    const std::vector<Endpoint>& endpoints,
    const http2::Request& request) {
  asio::io_context io_context;
  std::vector<AdminAnswer<std::string>> answers;
  std::vector<std::unique_ptr<http2::Client>> clients;
  std::size_t pending_calls = endpoints.size();
  answers.reserve(endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    answers.push_back({endpoint, std::string()});
  }
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    http2::ClientOptions options;
    options.m_address = endpoints[i].m_address;
    options.m_port = endpoints[i].m_port;
    clients.push_back(std::make_unique<http2::Client>(io_context, options));
    clients.back()->Send(request, kCallTimeout,
                         [&, i](const http2::ClientResult& result) {
                           answers[i].m_result = ReadResponse(result);
                           --pending_calls;
                         });
  }
  while (pending_calls > 0 && io_context.run_one() > 0) {
  }
  JASMINELUG_ASSERT(pending_calls == 0, EACH_ADMIN_CALL_HAS_A_RESULT);
  return answers;
}

}  // namespace jasminelug::ctl::internal
