#include "src/callers/caller_listener.h"

#include <utility>

#include "src/callers/internal/answer_formatter.h"
#include "src/callers/internal/request_parser.h"
#include "src/common/assert.h"

namespace jasminelug::callers {
namespace {

http2::ServerOptions MakeServerOptions(const http2::ServerOptions& options) {
  http2::ServerOptions result = options;
  result.m_body_too_large = internal::FormatAnswer(
      CallerError{ErrorCode::kBodyTooLarge,
                  "the body is larger than " +
                      std::to_string(options.m_max_body_bytes) + " bytes",
                  std::nullopt, Execution::kNotRun, std::nullopt});
  return result;
}

}  // namespace

CallerListener::CallerListener(asio::io_context& io_context,
                               const http2::ServerOptions& options,
                               CallerHooks hooks)
    : m_hooks(std::move(hooks)),
      m_server(
          io_context,
          MakeServerOptions(options),
          [this](const http2::Request& request,
                 const http2::Responder& responder) {
            OnRequest(request, responder);
          },
          [this](const http2::StreamId& id) { OnStreamAborted(id); }) {}

Result<Done, CallerListenerError> CallerListener::Start() {
  const Result<Done, http2::ServerError> result = m_server.Start();
  if (!IsOk(result)) {
    return CallerListenerError{"callers: " + GetError(result).m_message};
  }
  return Done{};
}

std::uint16_t CallerListener::Port() const {
  return m_server.Port();
}

void CallerListener::OnRequest(const http2::Request& request,
                               const http2::Responder& responder) {
  if (AnswerProbe(request, responder)) {
    return;
  }
  const Result<CallerRequest, CallerError> parsed =
      internal::ParseRequest(request);
  if (!IsOk(parsed)) {
    responder.Respond(internal::FormatAnswer(GetError(parsed)));
    return;
  }
  m_hooks.m_on_request(AddRequest(request.m_id, responder), GetValue(parsed));
}

bool CallerListener::AnswerProbe(const http2::Request& request,
                                 const http2::Responder& responder) {
  const std::string path = internal::GetPath(request);
  if (request.m_method != "GET" || (path != "/healthz" && path != "/readyz")) {
    return false;
  }
  const bool ok = path == "/healthz" || m_ready;
  responder.Respond(internal::FormatProbe(ok));
  return true;
}

RequestHandle CallerListener::AddRequest(const http2::StreamId& id,
                                         const http2::Responder& responder) {
  const RequestHandle handle = {++m_last_number};
  m_open_requests.emplace(handle, OpenRequest{id, responder});
  m_handles_by_stream.emplace(id, handle);
  return handle;
}

bool CallerListener::Answer(const RequestHandle& handle,
                            const CallerAnswer& answer) {
  const auto node = m_open_requests.extract(handle);
  if (node.empty()) {
    return false;
  }
  m_handles_by_stream.erase(node.mapped().m_stream);
  JASMINELUG_ASSERT(m_open_requests.size() == m_handles_by_stream.size(),
                    EACH_OPEN_REQUEST_HAS_ONE_STREAM);
  node.mapped().m_responder.Respond(internal::FormatAnswer(answer));
  return true;
}

void CallerListener::OnStreamAborted(const http2::StreamId& id) {
  const auto node = m_handles_by_stream.extract(id);
  if (node.empty()) {
    return;
  }
  m_open_requests.erase(node.mapped());
  if (m_hooks.m_on_caller_disconnected) {
    m_hooks.m_on_caller_disconnected(node.mapped());
  }
}

void CallerListener::SetReady(bool ready) {
  m_ready = ready;
}

void CallerListener::Shutdown(std::function<void()> done) {
  m_server.Shutdown(std::move(done));
}

}  // namespace jasminelug::callers
