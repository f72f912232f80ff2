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

// The reason why a listener could not start.
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
// The API requires no key, so it must listen at an address that only operators
// can reach. All methods must be called, and all hooks are called, on the
// thread of the io_context. A reply after the listener's destruction does
// nothing.
class AdminListener {
 public:
  // Does not listen before Start().
  AdminListener(asio::io_context& io_context,
                const http2::ServerOptions& options,
                AdminHooks hooks);

  AdminListener(const AdminListener&) = delete;
  AdminListener& operator=(const AdminListener&) = delete;

  Result<Done, AdminListenerError> Start();

  // Returns the port that the listener is bound to. Valid after Start().
  std::uint16_t Port() const;

  // Refuses new requests, waits until those that were passed to the hooks are
  // answered, and calls `done` when the last connection has closed.
  void Shutdown(std::function<void()> done);

 private:
  void OnRequest(const http2::Request& request,
                 const http2::Responder& responder);
  void OnGet(const http2::Request& request, const http2::Responder& responder);
  void OnPost(const http2::Request& request, const http2::Responder& responder);

  AdminHooks m_hooks;
  // Declared last, so that the server and its hooks are destroyed before the
  // members that the hooks use.
  http2::Server m_server;
};

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_ADMIN_LISTENER_H_
