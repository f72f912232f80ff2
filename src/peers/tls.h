#ifndef SRC_PEERS_TLS_H_
#define SRC_PEERS_TLS_H_

#include <asio/ssl/context.hpp>

#include <memory>
#include <string>

#include "jasminelug/common.h"
#include "src/peers/error.h"

namespace jasminelug::peers {

// Paths of the PEM files with a daemon's certificate chain, its private key and
// the certificate of the authority that signs the certificates of its peers.
struct TlsFiles {
  std::string m_certificate;
  std::string m_private_key;
  std::string m_ca_certificate;

  bool operator==(const TlsFiles&) const = default;
};

using TlsContext = std::shared_ptr<asio::ssl::context>;

// Creates a context for TLS 1.2 and later that requires and verifies the other
// side's certificate, both as a client and as a server. Every certificate that
// the authority signed is accepted, so the authority must sign certificates for
// the daemons only.
//
// Errors: kBadTls.
Result<TlsContext, Error> MakeTlsContext(const TlsFiles& files);

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_TLS_H_
