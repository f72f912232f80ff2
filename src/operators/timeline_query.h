#ifndef SRC_OPERATORS_TIMELINE_QUERY_H_
#define SRC_OPERATORS_TIMELINE_QUERY_H_

#include <string>

namespace jasminelug::operators {

// The filter of GET /v1/timeline. An empty field matches all entries.
struct TimelineQuery {
  bool operator==(const TimelineQuery&) const = default;

  // The request id that the caller chose.
  std::string m_request;
  std::string m_customer;
  std::string m_database;
  std::string m_zone;
};

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_TIMELINE_QUERY_H_
