#include "test/fake_platform/call_counts_json.h"

namespace jasminelug::fake_platform {

nlohmann::json ToJson(const platform::CallCounts& counts) {
  return {{"total", counts.Total()},
          {"operations",
           {{"get", counts.m_get},
            {"list", counts.m_list},
            {"put", counts.m_put},
            {"delete", counts.m_delete},
            {"watch", counts.m_watch},
            {"instances", counts.m_instances}}}};
}

}  // namespace jasminelug::fake_platform
