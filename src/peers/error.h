#ifndef SRC_PEERS_ERROR_H_
#define SRC_PEERS_ERROR_H_

#include <string>

namespace jasminelug::peers {

// What went wrong between daemons.
enum class ErrorKind {
  kMalformed,     // The bytes are no envelope.
  kUnknownBody,   // An envelope whose body this release does not know.
  kTooLarge,      // The envelope is longer than kMaxFrameBytes.
  kQueueFull,     // The peer takes messages more slowly than they come.
  kBadAddress,    // Not an IP number and a port.
  kCannotListen,  // The listening address cannot be bound.
  kBadTls,        // The certificate, key or authority cannot be used.
  kStopped,       // The network has been stopped.
};

// An error of this package, with a text for the log.
struct Error {
  ErrorKind m_kind = ErrorKind::kMalformed;
  std::string m_message;

  bool operator==(const Error&) const = default;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_ERROR_H_
