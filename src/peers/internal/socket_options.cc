#include "src/peers/internal/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jasminelug::peers::internal {
namespace {

constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

// Sets a TCP option. Ignores errors, because the connection also works without
// the option.
void SetTcpOption(asio::ip::tcp::socket& socket, int option, int value) {
  setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
             sizeof(value));
}

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds unacknowledged_timeout) {
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(socket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(socket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(socket, TCP_KEEPCNT, kKeepAliveProbes);
  SetTcpOption(socket, TCP_USER_TIMEOUT,
               static_cast<int>(unacknowledged_timeout.count()));
}

}  // namespace jasminelug::peers::internal
