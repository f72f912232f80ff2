#ifndef SRC_HTTP2_STREAM_ID_H_
#define SRC_HTTP2_STREAM_ID_H_

#include <cstdint>
#include <tuple>

namespace jasminelug::http2 {

// Identifies a stream, and thus a request, of a server. It is unique among all
// connections that the server accepts while it exists.
struct StreamId {
  bool operator==(const StreamId&) const = default;
  bool operator<(const StreamId& other) const {
    return std::tie(m_connection, m_stream) <
           std::tie(other.m_connection, other.m_stream);
  }

  // Sequence number of the connection within its server, starting at 1.
  std::uint64_t m_connection = 0;
  // HTTP/2 stream identifier within the connection.
  std::int32_t m_stream = 0;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_STREAM_ID_H_
