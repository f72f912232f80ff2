#ifndef SRC_OPERATORS_METRICS_REPORT_H_
#define SRC_OPERATORS_METRICS_REPORT_H_

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug::operators {

// One measured value.
struct Metric {
  bool operator==(const Metric&) const = default;

  // The name including the unit, e.g. "request_latency_p99_ms".
  std::string m_name;
  // The customer and the database that the value is about; both are empty for
  // a value of the whole instance.
  std::string m_customer;
  std::string m_database;
  double m_value = 0;
};

// The answer to GET /v1/metrics.
struct MetricsReport {
  bool operator==(const MetricsReport&) const = default;

  std::string m_instance;
  std::vector<Metric> m_metrics;
};

nlohmann::json ToJson(const MetricsReport& report);
Result<MetricsReport, FieldErrors> ParseMetricsReport(std::string_view text);

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_METRICS_REPORT_H_
