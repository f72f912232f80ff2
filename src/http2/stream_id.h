#ifndef SRC_HTTP2_STREAM_ID_H_
#define SRC_HTTP2_STREAM_ID_H_

#include <cstdint>
#include <tuple>

namespace jasminelug::http2 {

// Names one exchange of a server for as long as the process runs.
struct StreamId {
  bool operator==(const StreamId&) const = default;
  bool operator<(const StreamId& other) const {
    return std::tie(m_connection, m_stream) <
           std::tie(other.m_connection, other.m_stream);
  }

  // Counts the server's connections from one; never used again.
  std::uint64_t m_connection = 0;
  // HTTP/2's number of the stream within its connection.
  std::int32_t m_stream = 0;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_STREAM_ID_H_
