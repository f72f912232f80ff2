#ifndef SRC_HTTP2_TLS_H_
#define SRC_HTTP2_TLS_H_

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>

#include "src/common/result.h"

namespace jasminelug::http2 {

// A TLS context, shared by several connections; null for unencrypted HTTP/2.
using TlsContext = std::shared_ptr<asio::ssl::context>;

// A certificate chain and its private key, both in PEM format.
struct TlsIdentity {
  bool operator==(const TlsIdentity&) const = default;

  std::string m_certificate_chain;
  std::string m_private_key;
};

// The reason why a TLS context could not be created.
struct TlsError {
  bool operator==(const TlsError&) const = default;

  std::string m_message;
};

// Creates a server context that uses TLS 1.2 or later and selects h2 by ALPN.
// Fails if a PEM text of `identity` is not valid.
Result<TlsContext, TlsError> MakeServerTlsContext(const TlsIdentity& identity);

// Creates a client context that uses TLS 1.2 or later, offers h2 by ALPN and
// trusts only the certificate authorities in the PEM text `authorities`. Fails
// if that text is not valid.
Result<TlsContext, TlsError> MakeClientTlsContext(
    const std::string& authorities);

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_TLS_H_
