#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>

#include "apps/jasminelugctl/admin_session.h"
#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/table.h"
#include "apps/jasminelugctl/timeline_order.h"
#include "jasminelug/platform.h"

namespace jasminelug::ctl {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
constexpr int kMicrosecondDigits = 6;

// Sends a GET request to all instances of --admin and returns the answers.
// Reports each instance that fails as a message and sets `*code` to
// kUnavailable.
template <typename T>
std::vector<T> CollectAnswers(const Invocation& invocation,
                              const std::string& path,
                              const AnswerParser<T>& parse,
                              ExitCode* code) {
  std::vector<T> values;
  const http2::Request request = {"GET", path, {}, "", {}};
  for (const AdminAnswer<T>& answer :
       CallAll<T>(invocation.m_options.m_admins, request, parse)) {
    if (IsOk(answer.m_result)) {
      values.push_back(GetValue(answer.m_result));
      continue;
    }
    invocation.m_err << ToString(answer.m_endpoint) << ": "
                     << Printable(GetError(answer.m_result).m_message) << "\n";
    *code = ExitCode::kUnavailable;
  }
  return values;
}

const char* YesNo(bool value) {
  return value ? "yes" : "no";
}

void PrintInstances(const Invocation& invocation,
                    const std::vector<operators::StatusReport>& reports) {
  Table table({"INSTANCE", "ZONE", "READY", "DRAINING", "REVISION", "PLATFORM",
               "SHARES", "REQUESTS", "TRANSACTIONS", "LIVE PEERS"});
  for (const operators::StatusReport& report : reports) {
    int live = 0;
    for (const operators::PeerStatus& peer : report.m_peers) {
      live += peer.m_live ? 1 : 0;
    }
    table.Add({report.m_instance, report.m_zone, YesNo(report.m_ready),
               YesNo(report.m_draining), std::to_string(report.m_revision),
               report.m_platform_reachable ? "reached" : "lost",
               report.m_uses_shares ? "used" : "not used",
               std::to_string(report.m_active_requests),
               std::to_string(report.m_open_transactions),
               std::to_string(live) + " of " +
                   std::to_string(report.m_peers.size())});
  }
  table.Print(invocation);
}

void PrintDatabases(const Invocation& invocation,
                    const std::vector<operators::StatusReport>& reports) {
  Table table(
      {"INSTANCE", "DATABASE", "TERM", "PRIMARY", "USABLE", "CONNECTIONS"});
  Table members({"INSTANCE", "DATABASE", "MEMBER", "ZONE", "ROLE", "RECEIVED",
                 "APPLIED", "AGE_MS", "FAILED"});
  for (const operators::StatusReport& report : reports) {
    for (const operators::DatabaseStatus& database : report.m_databases) {
      table.Add({report.m_instance, database.m_name,
                 std::to_string(database.m_term), database.m_primary,
                 YesNo(database.m_usable),
                 std::to_string(database.m_connections_open) + " of " +
                     std::to_string(database.m_connections_share)});
      for (const operators::MemberStatus& member : database.m_members) {
        members.Add(
            {report.m_instance, database.m_name, member.m_id, member.m_zone,
             member.m_role, std::to_string(member.m_received),
             std::to_string(member.m_applied),
             member.m_age_ms < 0 ? "?" : std::to_string(member.m_age_ms),
             YesNo(member.m_failed)});
      }
    }
  }
  invocation.m_out << "\n";
  table.Print(invocation);
  invocation.m_out << "\n";
  members.Print(invocation);
}

std::string TimelinePath(const operators::TimelineQuery& query) {
  return "/v1/timeline?request=" + platform::PercentEncode(query.m_request) +
         "&customer=" + platform::PercentEncode(query.m_customer) +
         "&database=" + platform::PercentEncode(query.m_database) +
         "&zone=" + platform::PercentEncode(query.m_zone);
}

std::string FormatTime(std::int64_t unix_us) {
  const std::time_t seconds = unix_us / kMicrosecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.")
       << std::setw(kMicrosecondDigits) << std::setfill('0')
       << unix_us % kMicrosecondsPerSecond << "Z";
  return text.str();
}

// Returns the fields that are set, as "name=value", and the detail text.
std::string Describe(const operators::TimelineEntry& entry) {
  std::string text;
  const auto add = [&text](const char* name, const std::string& value) {
    if (!value.empty() && value != "0") {
      text += std::string(name) + "=" + value + " ";
    }
  };
  add("request", std::to_string(entry.m_request));
  add("request_id", entry.m_request_id);
  add("customer", entry.m_customer);
  add("database", entry.m_database);
  add("zone", entry.m_zone);
  add("peer", entry.m_peer);
  add("term", std::to_string(entry.m_term));
  add("revision", std::to_string(entry.m_revision));
  return text + entry.m_detail;
}

}  // namespace

ExitCode Status(const Invocation& invocation) {
  ExitCode code = ExitCode::kDone;
  const auto reports = CollectAnswers<operators::StatusReport>(
      invocation, "/v1/status", operators::ParseStatusReport, &code);
  if (invocation.m_options.m_json) {
    Json list = Json::array();
    for (const operators::StatusReport& report : reports) {
      list.push_back(operators::ToJson(report));
    }
    PrintJson(invocation, list);
    return code;
  }
  PrintInstances(invocation, reports);
  PrintDatabases(invocation, reports);
  return code;
}

ExitCode Timeline(const Invocation& invocation) {
  ExitCode code = ExitCode::kDone;
  const operators::TimelineEntries merged =
      MergeTimelines(CollectAnswers<operators::TimelineEntries>(
          invocation, TimelinePath(invocation.m_options.m_timeline),
          operators::ParseTimelineEntries, &code));
  if (invocation.m_options.m_json) {
    PrintJson(invocation, operators::ToJson(merged));
    return code;
  }
  Table table({"TIME", "INSTANCE", "EVENT", "DETAIL"});
  for (const operators::TimelineEntry& entry : merged) {
    table.Add({FormatTime(entry.m_time_unix_us), entry.m_instance, entry.m_kind,
               Describe(entry)});
  }
  table.Print(invocation);
  return code;
}

ExitCode Metrics(const Invocation& invocation) {
  ExitCode code = ExitCode::kDone;
  const auto reports = CollectAnswers<operators::MetricsReport>(
      invocation, "/v1/metrics", operators::ParseMetricsReport, &code);
  if (invocation.m_options.m_json) {
    Json list = Json::array();
    for (const operators::MetricsReport& report : reports) {
      list.push_back(operators::ToJson(report));
    }
    PrintJson(invocation, list);
    return code;
  }
  Table table({"INSTANCE", "METRIC", "CUSTOMER", "DATABASE", "VALUE"});
  for (const operators::MetricsReport& report : reports) {
    for (const operators::Metric& metric : report.m_metrics) {
      table.Add({report.m_instance, metric.m_name, metric.m_customer,
                 metric.m_database, Json(metric.m_value).dump()});
    }
  }
  table.Print(invocation);
  return code;
}

}  // namespace jasminelug::ctl
