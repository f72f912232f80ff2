#ifndef SRC_PEERS_ERROR_H_
#define SRC_PEERS_ERROR_H_

#include <string>

namespace jasminelug::peers {

// Kinds of errors in the communication between daemons.
enum class ErrorKind {
  kMalformed,     // The bytes are not a valid envelope.
  kUnknownBody,   // The body is of a kind unknown to this release.
  kTooLarge,      // The envelope is longer than kMaxFrameBytes.
  kQueueFull,     // The send queue of the peer is full.
  kBadAddress,    // Not an IP address and a port.
  kCannotListen,  // The listening address cannot be bound.
  kBadTls,        // A certificate or the private key is unusable.
  kStopped,       // The network has been stopped.
};

// An error of this package: its kind and a description for the log.
struct Error {
  ErrorKind m_kind = ErrorKind::kMalformed;
  std::string m_message;

  bool operator==(const Error&) const = default;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_ERROR_H_
