#include "src/http2/tls.h"

#include <nghttp2/nghttp2.h>
#include <asio/buffer.hpp>

#include <functional>

namespace jasminelug::http2 {
namespace {

// The protocol names offered by ALPN, each preceded by its length.
constexpr unsigned char kAlpnList[] = {2, 'h', '2'};

int SelectHttp2(SSL*,
                const unsigned char** out,
                unsigned char* out_length,
                const unsigned char* offered,
                unsigned int offered_length,
                void*) {
  unsigned char* selected = nullptr;
  if (nghttp2_select_next_protocol(&selected, out_length, offered,
                                   offered_length) != 1) {
    return SSL_TLSEXT_ERR_ALERT_FATAL;
  }
  *out = selected;
  return SSL_TLSEXT_ERR_OK;
}

// Creates a context for TLS 1.2 or later and calls `configure` with it. Returns
// an error if an exception was thrown.
Result<TlsContext, TlsError> MakeContext(
    asio::ssl::context::method method,
    const std::function<void(asio::ssl::context&)>& configure) {
  try {
    auto context = std::make_shared<asio::ssl::context>(method);
    context->set_options(asio::ssl::context::default_workarounds |
                         asio::ssl::context::no_tlsv1 |
                         asio::ssl::context::no_tlsv1_1);
    configure(*context);
    return context;
  } catch (const std::exception& error) {
    return TlsError{error.what()};
  }
}

}  // namespace

Result<TlsContext, TlsError> MakeServerTlsContext(const TlsIdentity& identity) {
  return MakeContext(
      asio::ssl::context::tls_server, [&](asio::ssl::context& context) {
        context.use_certificate_chain(
            asio::buffer(identity.m_certificate_chain));
        context.use_private_key(asio::buffer(identity.m_private_key),
                                asio::ssl::context::pem);
        SSL_CTX_set_alpn_select_cb(context.native_handle(), SelectHttp2,
                                   nullptr);
      });
}

Result<TlsContext, TlsError> MakeClientTlsContext(
    const std::string& authorities) {
  return MakeContext(
      asio::ssl::context::tls_client, [&](asio::ssl::context& context) {
        context.add_certificate_authority(asio::buffer(authorities));
        context.set_verify_mode(asio::ssl::verify_peer);
        SSL_CTX_set_alpn_protos(context.native_handle(), kAlpnList,
                                sizeof(kAlpnList));
      });
}

}  // namespace jasminelug::http2
