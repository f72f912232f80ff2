#ifndef SRC_OPERATORS_TIMELINE_QUERY_H_
#define SRC_OPERATORS_TIMELINE_QUERY_H_

#include <string>

namespace jasminelug::operators {

// Which entries GET /v1/timeline asks for; empty fields select all.
struct TimelineQuery {
  bool operator==(const TimelineQuery&) const = default;

  // The id that the caller gave its request.
  std::string m_request;
  std::string m_customer;
  std::string m_database;
  std::string m_zone;
};

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_TIMELINE_QUERY_H_
