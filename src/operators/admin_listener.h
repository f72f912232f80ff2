#ifndef SRC_OPERATORS_ADMIN_LISTENER_H_
#define SRC_OPERATORS_ADMIN_LISTENER_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

#include "src/common/result.h"
#include "src/http2/responder.h"
#include "src/http2/server.h"
#include "src/http2/server_options.h"
#include "src/operators/admin_hooks.h"

namespace jasminelug::operators {

// Why a listener can't start.
struct AdminListenerError {
  bool operator==(const AdminListenerError&) const = default;

  std::string m_message;
};

// The operators' JSON API over HTTP/2:
//
//   GET  /v1/status
//   GET  /v1/timeline?request=&customer=&database=&zone=
//   GET  /v1/metrics
//   POST /v1/switchover  {"database":...,"successor":...}
//
// It asks for no key: it is to listen where only operators reach it. All
// methods and hooks run on the thread of its io_context. A reply may come after
// the listener is gone; it then does nothing.
class AdminListener {
 public:
  // Nothing is done before Start.
  AdminListener(asio::io_context& io_context,
                const http2::ServerOptions& options,
                AdminHooks hooks);

  AdminListener(const AdminListener&) = delete;
  AdminListener& operator=(const AdminListener&) = delete;

  Result<Done, AdminListenerError> Start();

  // Returns the port that it listens on, once it was started.
  std::uint16_t Port() const;

  // Takes no new requests, waits until those handed on are answered, and calls
  // `done` when the last connection has closed.
  void Shutdown(std::function<void()> done);

 private:
  void OnRequest(const http2::Request& request,
                 const http2::Responder& responder);
  void OnGet(const http2::Request& request, const http2::Responder& responder);
  void OnPost(const http2::Request& request, const http2::Responder& responder);

  AdminHooks m_hooks;
  // Last, so that its hooks are gone before what they use.
  http2::Server m_server;
};

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_ADMIN_LISTENER_H_
