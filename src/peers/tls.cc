#include "src/peers/tls.h"

#include <asio/error.hpp>

#include <system_error>

namespace jasminelug::peers {

Result<TlsContext, Error> MakeTlsContext(const TlsFiles& files) {
  using asio::ssl::context;
  try {
    auto result = std::make_shared<context>(context::tls);
    result->set_options(context::default_workarounds | context::no_sslv2 |
                        context::no_sslv3 | context::no_tlsv1 |
                        context::no_tlsv1_1);
    result->use_certificate_chain_file(files.m_certificate);
    result->use_private_key_file(files.m_private_key, context::pem);
    result->load_verify_file(files.m_ca_certificate);
    result->set_verify_mode(asio::ssl::verify_peer |
                            asio::ssl::verify_fail_if_no_peer_cert);
    return result;
  } catch (const std::system_error& error) {
    return Error{ErrorKind::kBadTls, error.what()};
  }
}

}  // namespace jasminelug::peers
