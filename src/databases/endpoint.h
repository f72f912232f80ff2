#ifndef SRC_DATABASES_ENDPOINT_H_
#define SRC_DATABASES_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace jasminelug::databases {

// The address of a member of a database group, with the database and the user
// to connect with.
struct Endpoint {
  // An IP address in text form; host names are not resolved.
  std::string m_host;
  std::uint16_t m_port = 0;
  std::string m_database;
  std::string m_user;

  bool operator==(const Endpoint&) const = default;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_ENDPOINT_H_
