#include "src/operators/admin_listener.h"

#include <nlohmann/json.hpp>

#include <utility>

#include "src/common/assert.h"
#include "src/operators/internal/timeline_query_parser.h"

namespace jasminelug::operators {
namespace {

http2::Response JsonResponse(int status, const nlohmann::json& body) {
  // Replaces invalid UTF-8, on which dump() throws by default: such text in an
  // event's detail must not terminate the process.
  return {
      status,
      {{"content-type", "application/json"}},
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
  };
}

http2::Response ErrorResponse(const AdminError& error) {
  return JsonResponse(StatusOf(error.m_kind), ToJson(error));
}

template <typename T>
Reply<T> ReplyTo(const http2::Responder& responder) {
  return [responder](const Result<T, AdminError>& result) {
    responder.Respond(IsOk(result) ? JsonResponse(200, ToJson(GetValue(result)))
                                   : ErrorResponse(GetError(result)));
  };
}

void RespondNotFound(const http2::Responder& responder) {
  responder.Respond(
      ErrorResponse({AdminError::Kind::kNotFound, "no such path or method"}));
}

void RespondBadRequest(const http2::Responder& responder,
                       const std::string& message) {
  responder.Respond(ErrorResponse({AdminError::Kind::kBadRequest, message}));
}

std::string PathOf(const http2::Request& request) {
  return request.m_path.substr(0, request.m_path.find('?'));
}

}  // namespace

AdminListener::AdminListener(asio::io_context& io_context,
                             const http2::ServerOptions& options,
                             AdminHooks hooks)
    : m_hooks(std::move(hooks)),
      m_server(io_context,
               options,
               [this](const http2::Request& request,
                      const http2::Responder& responder) {
                 OnRequest(request, responder);
               }) {
  JASMINELUG_ASSERT(m_hooks.m_on_status && m_hooks.m_on_timeline &&
                        m_hooks.m_on_metrics && m_hooks.m_on_switchover,
                    NO_ADMIN_HOOK_IS_EMPTY);
}

Result<Done, AdminListenerError> AdminListener::Start() {
  const Result<Done, http2::ServerError> result = m_server.Start();
  if (!IsOk(result)) {
    return AdminListenerError{"operators: " + GetError(result).m_message};
  }
  return Done{};
}

std::uint16_t AdminListener::Port() const {
  return m_server.Port();
}

void AdminListener::Shutdown(std::function<void()> done) {
  m_server.Shutdown(std::move(done));
}

void AdminListener::OnRequest(const http2::Request& request,
                              const http2::Responder& responder) {
  if (request.m_method == "GET") {
    OnGet(request, responder);
  } else if (request.m_method == "POST") {
    OnPost(request, responder);
  } else {
    RespondNotFound(responder);
  }
}

void AdminListener::OnGet(const http2::Request& request,
                          const http2::Responder& responder) {
  const std::string path = PathOf(request);
  if (path == "/v1/status") {
    m_hooks.m_on_status(ReplyTo<StatusReport>(responder));
  } else if (path == "/v1/metrics") {
    m_hooks.m_on_metrics(ReplyTo<MetricsReport>(responder));
  } else if (path == "/v1/timeline") {
    const Result<TimelineQuery, AdminError> query =
        internal::ParseTimelineQuery(request.m_path);
    if (!IsOk(query)) {
      responder.Respond(ErrorResponse(GetError(query)));
      return;
    }
    m_hooks.m_on_timeline(GetValue(query), ReplyTo<TimelineEntries>(responder));
  } else {
    RespondNotFound(responder);
  }
}

void AdminListener::OnPost(const http2::Request& request,
                           const http2::Responder& responder) {
  if (PathOf(request) != "/v1/switchover") {
    RespondNotFound(responder);
    return;
  }
  const Result<SwitchoverRequest, FieldErrors> parsed =
      ParseSwitchoverRequest(request.m_body);
  if (!IsOk(parsed)) {
    RespondBadRequest(responder, FormatFieldErrors(GetError(parsed)));
    return;
  }
  m_hooks.m_on_switchover(GetValue(parsed),
                          ReplyTo<SwitchoverOutcome>(responder));
}

}  // namespace jasminelug::operators
