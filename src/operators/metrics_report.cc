#include "src/operators/metrics_report.h"

#include "src/common/object_reader.h"

namespace jasminelug::operators {
namespace {

using Json = nlohmann::json;

void ReadMetric(ObjectReader& reader, Metric* metric) {
  reader.Required("name", &metric->m_name);
  reader.Required("customer", &metric->m_customer);
  reader.Required("database", &metric->m_database);
  reader.Required("value", &metric->m_value);
}

}  // namespace

Json ToJson(const MetricsReport& report) {
  Json metrics = Json::array();
  for (const Metric& metric : report.m_metrics) {
    metrics.push_back({{"name", metric.m_name},
                       {"customer", metric.m_customer},
                       {"database", metric.m_database},
                       {"value", metric.m_value}});
  }
  return {{"instance", report.m_instance}, {"metrics", metrics}};
}

Result<MetricsReport, FieldErrors> ParseMetricsReport(std::string_view text) {
  return ReadDocument<MetricsReport>(
      text, JsonComments::kRefused,
      [](ObjectReader& reader, MetricsReport* report) {
        reader.Required("instance", &report->m_instance);
        reader.Objects<Metric>("metrics", &report->m_metrics, ReadMetric);
      });
}

}  // namespace jasminelug::operators
