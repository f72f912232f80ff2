#ifndef SRC_HTTP2_TLS_H_
#define SRC_HTTP2_TLS_H_

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>

#include "src/common/result.h"

namespace jasminelug::http2 {

// A TLS context that several connections share; null stands for plain HTTP/2.
using TlsContext = std::shared_ptr<asio::ssl::context>;

// A certificate chain and its private key, both as PEM text.
struct TlsIdentity {
  bool operator==(const TlsIdentity&) const = default;

  std::string m_certificate_chain;
  std::string m_private_key;
};

// Why a context could not be made.
struct TlsError {
  bool operator==(const TlsError&) const = default;

  std::string m_message;
};

// Makes a context that speaks TLS 1.2 or later and selects h2 by ALPN.
Result<TlsContext, TlsError> MakeServerTlsContext(const TlsIdentity& identity);

// Makes a context that offers h2 by ALPN and trusts only the authorities in the
// PEM text `authorities`.
Result<TlsContext, TlsError> MakeClientTlsContext(
    const std::string& authorities);

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_TLS_H_
