#include "src/http2/internal/connection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

#include "src/common/assert.h"

namespace jasminelug::http2::internal {
namespace {

// Approximate maximum size of one write; the last frame that FillOutput gets
// from nghttp2 may exceed it.
constexpr std::size_t kMaxWriteBytes = 65536;

// Maximum time for the peer to close its side after our GOAWAY. If the socket
// were closed with unread input, TCP would reset the connection, and the peer
// would lose the data that it has not read yet.
constexpr std::chrono::milliseconds kDrainTimeout{500};

nghttp2_nv MakeField(const std::string& name, const std::string& value) {
  // The const_casts are safe: nghttp2 copies both strings and modifies neither.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> MakeFields(const Headers& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  for (const Header& header : headers) {
    fields.push_back(MakeField(header.m_name, header.m_value));
  }
  return fields;
}

// Calls `hook` if it is set.
template <typename Hook, typename... Args>
void Call(const Hook& hook, const Args&... args) {
  if (hook) {
    hook(args...);
  }
}

}  // namespace

// The callbacks for nghttp2; their user data is the Connection. They call no
// hooks after the connection was closed.
struct Connection::Callbacks {
  static Connection& From(void* user_data) {
    return *static_cast<Connection*>(user_data);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data) {
    Connection& connection = From(user_data);
    const bool opens = frame->hd.type == NGHTTP2_HEADERS &&
                       frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (opens && !connection.m_closed) {
      Call(connection.m_hooks.m_on_stream_opened, frame->hd.stream_id);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t,
                      void* user_data) {
    Connection& connection = From(user_data);
    if (!connection.m_closed) {
      const Header header = {
          std::string(reinterpret_cast<const char*>(name), name_size),
          std::string(reinterpret_cast<const char*>(value), value_size)};
      Call(connection.m_hooks.m_on_header, frame->hd.stream_id, header);
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    std::uint8_t,
                    std::int32_t stream,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* user_data) {
    Connection& connection = From(user_data);
    if (!connection.m_closed) {
      Call(connection.m_hooks.m_on_data, stream,
           std::string_view(reinterpret_cast<const char*>(data), size));
    }
    return 0;
  }

  static int OnFrameReceived(nghttp2_session*,
                             const nghttp2_frame* frame,
                             void* user_data) {
    Connection& connection = From(user_data);
    if (connection.m_closed) {
      return 0;
    }
    const ConnectionHooks& hooks = connection.m_hooks;
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      Call(hooks.m_on_goaway);
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
      Call(hooks.m_on_headers_received, frame->hd.stream_id);
    }
    if (EndsMessage(frame) && !connection.m_closed) {
      Call(hooks.m_on_message_received, frame->hd.stream_id);
    }
    return 0;
  }

  static int OnFrameSent(nghttp2_session*,
                         const nghttp2_frame* frame,
                         void* user_data) {
    Connection& connection = From(user_data);
    if (frame->hd.type == NGHTTP2_HEADERS && !connection.m_closed) {
      Call(connection.m_hooks.m_on_headers_sent, frame->hd.stream_id);
    }
    return 0;
  }

  // Called when nghttp2 discards a request before it has written any of it.
  // Reports the stream as refused, since the server can't have processed it.
  static int OnFrameNotSent(nghttp2_session*,
                            const nghttp2_frame* frame,
                            int,
                            void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      OnStreamClosed(nullptr, frame->hd.stream_id, NGHTTP2_REFUSED_STREAM,
                     user_data);
    }
    return 0;
  }

  static int OnStreamClosed(nghttp2_session*,
                            std::int32_t stream,
                            std::uint32_t error,
                            void* user_data) {
    Connection& connection = From(user_data);
    connection.m_bodies.erase(stream);
    if (!connection.m_closed) {
      Call(connection.m_hooks.m_on_stream_closed, stream, error);
    }
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          std::int32_t stream,
                          std::uint8_t* buffer,
                          std::size_t capacity,
                          std::uint32_t* flags,
                          nghttp2_data_source*,
                          void* user_data) {
    const auto found = From(user_data).m_bodies.find(stream);
    if (found == From(user_data).m_bodies.end()) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    OutgoingBody& body = found->second;
    const std::size_t left = body.m_bytes.size() - body.m_offset;
    const std::size_t size = std::min(capacity, left);
    std::memcpy(buffer, body.m_bytes.data() + body.m_offset, size);
    body.m_offset += size;
    if (size == left) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size);
  }

  static bool EndsMessage(const nghttp2_frame* frame) {
    const bool carries_message =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    return carries_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  }

  static nghttp2_session_callbacks* Make() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         OnFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks,
                                                         OnFrameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                             OnFrameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           OnStreamClosed);
    return callbacks;
  }
};

Connection::Connection(asio::ip::tcp::socket socket,
                       TlsContext tls,
                       Role role,
                       ConnectionHooks hooks)
    : m_stream(std::move(socket), std::move(tls)),
      m_hooks(std::move(hooks)),
      m_drain_timer(m_stream.Socket().get_executor()),
      m_last_read(std::chrono::steady_clock::now()),
      m_last_progress(m_last_read) {
  nghttp2_session_callbacks* callbacks = Callbacks::Make();
  if (role == Role::kServer) {
    nghttp2_session_server_new(&m_session, callbacks, this);
  } else {
    nghttp2_session_client_new(&m_session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

Connection::~Connection() {
  nghttp2_session_del(m_session);
}

void Connection::Start(std::uint32_t max_concurrent_streams) {
  std::error_code ignored;
  m_stream.Socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  Flush();
  Read();
}

std::int32_t Connection::SubmitRequest(const std::string& scheme,
                                       const std::string& authority,
                                       const Request& request) {
  Headers headers = {{":method", request.m_method},
                     {":scheme", scheme},
                     {":authority", authority},
                     {":path", request.m_path}};
  headers.insert(headers.end(), request.m_headers.begin(),
                 request.m_headers.end());
  const std::vector<nghttp2_nv> fields = MakeFields(headers);
  const std::int32_t stream =
      static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(m_session));
  nghttp2_data_provider provider = {};
  const std::int32_t submitted = nghttp2_submit_request(
      m_session, nullptr, fields.data(), fields.size(),
      AddBody(stream, request.m_body, &provider), nullptr);
  if (submitted < 0) {
    m_bodies.erase(stream);
    return submitted;
  }
  JASMINELUG_ASSERT(submitted == stream, NEXT_STREAM_ID_IS_USED);
  return stream;
}

void Connection::SubmitResponse(std::int32_t stream, const Response& response) {
  if (m_closed) {
    return;
  }
  Headers headers = {{":status", std::to_string(response.m_status)}};
  headers.insert(headers.end(), response.m_headers.begin(),
                 response.m_headers.end());
  headers.push_back({"content-length", std::to_string(response.m_body.size())});
  const std::vector<nghttp2_nv> fields = MakeFields(headers);
  nghttp2_data_provider provider = {};
  const int error =
      nghttp2_submit_response(m_session, stream, fields.data(), fields.size(),
                              AddBody(stream, response.m_body, &provider));
  JASMINELUG_ASSERT(error == 0, RESPONSE_IS_SUBMITTED_TO_AN_OPEN_STREAM);
  Flush();
}

const nghttp2_data_provider* Connection::AddBody(
    std::int32_t stream,
    const std::string& body,
    nghttp2_data_provider* provider) {
  if (body.empty()) {
    return nullptr;
  }
  m_bodies[stream] = OutgoingBody{body};
  provider->read_callback = Callbacks::ReadBody;
  return provider;
}

void Connection::ResetStream(std::int32_t stream, std::uint32_t error) {
  nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, error);
  Flush();
}

void Connection::SubmitShutdownNotice() {
  nghttp2_submit_shutdown_notice(m_session);
  Flush();
}

void Connection::Terminate(std::int32_t last_stream) {
  nghttp2_session_terminate_session2(m_session, last_stream, NGHTTP2_NO_ERROR);
  Flush();
}

void Connection::Read() {
  m_stream.AsyncReadSome(asio::buffer(m_input),
                         [self = shared_from_this()](
                             const std::error_code& error, std::size_t size) {
                           self->OnRead(error, size);
                         });
}

void Connection::OnRead(const std::error_code& error, std::size_t size) {
  if (error || m_closed) {
    Close();
    return;
  }
  m_last_read = std::chrono::steady_clock::now();
  m_last_progress = m_last_read;
  if (!m_draining) {
    Receive(size);
  }
  if (!m_closed) {
    Read();
  }
}

void Connection::Receive(std::size_t size) {
  m_in_session = true;
  const ssize_t used =
      nghttp2_session_mem_recv(m_session, m_input.data(), size);
  m_in_session = false;
  if (used < 0) {
    // The peer does not send HTTP/2, or memory is exhausted. nghttp2 handles
    // all other protocol errors by sending RST_STREAM or GOAWAY.
    Close();
    return;
  }
  Flush();
}

void Connection::Flush() {
  if (m_in_session || m_writing || m_draining || m_closed) {
    return;
  }
  FillOutput();
  if (m_closed) {
    return;
  }
  if (!m_output.empty()) {
    Write();
    return;
  }
  const bool goes_on = nghttp2_session_want_read(m_session) != 0 ||
                       nghttp2_session_want_write(m_session) != 0;
  if (!goes_on) {
    Drain();
  }
}

void Connection::FillOutput() {
  m_in_session = true;
  while (m_output.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(m_session, &data);
    if (size <= 0) {
      break;
    }
    m_output.append(reinterpret_cast<const char*>(data),
                    static_cast<std::size_t>(size));
  }
  m_in_session = false;
}

void Connection::Write() {
  m_writing = true;
  m_stream.AsyncWrite(
      asio::buffer(m_output),
      [self = shared_from_this()](const std::error_code& error, std::size_t) {
        self->m_writing = false;
        self->m_output.clear();
        self->m_last_progress = std::chrono::steady_clock::now();
        if (error) {
          self->Close();
          return;
        }
        self->Flush();
      });
}

void Connection::Drain() {
  m_draining = true;
  m_stream.ShutdownSend();
  m_drain_timer.expires_after(kDrainTimeout);
  m_drain_timer.async_wait(
      [self = shared_from_this()](const std::error_code& error) {
        if (!error) {
          self->Close();
        }
      });
}

void Connection::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_drain_timer.cancel();
  m_stream.Close();
  // Close may be called from within a hook, so m_on_closed is posted instead of
  // called here.
  asio::post(m_stream.Socket().get_executor(), [self = shared_from_this()] {
    Call(self->m_hooks.m_on_closed);
    self->m_hooks = {};
  });
}

}  // namespace jasminelug::http2::internal
