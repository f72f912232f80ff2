#ifndef APPS_JASMINELUGCTL_OBJECT_WRITE_H_
#define APPS_JASMINELUGCTL_OBJECT_WRITE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "apps/jasminelugctl/desired_object.h"
#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"
#include "apps/jasminelugctl/platform_session.h"

namespace jasminelug::ctl {

// Holds one object to write and the state that the write replaces.
struct PlannedWrite {
  bool operator==(const PlannedWrite&) const = default;

  DesiredObject m_desired;
  // Version of the object that the write replaces; 0 creates the object.
  std::int64_t m_expected_version = 0;
  // Revision of the platform at which that version was written.
  std::int64_t m_revision = 0;
  // Value that the write replaces; empty if the object does not exist.
  std::string m_old_value;

  // Returns whether the platform's value differs from the desired value.
  bool IsNeeded() const { return m_old_value != m_desired.m_value; }
};

using WritePlan = std::vector<PlannedWrite>;

// Returns one planned write for each desired object, based on the objects that
// the platform holds. Objects of the platform that are not among `desired` are
// not changed.
WritePlan MakePlan(const platform::ObjectList& list,
                   const DesiredObjects& desired);

// Result of one write.
enum class WriteStatus {
  kUnchanged,  // The platform already holds the desired value.
  kCreated,
  kChanged,
  kConflict,     // Not written: another writer changed the object first.
  kRefused,      // Not written.
  kUnavailable,  // Not written.
  kUnknown,      // The value may or may not have been written.
};

const char* ToString(WriteStatus status);

// Holds one write and its result.
struct WriteReport {
  bool operator==(const WriteReport&) const = default;

  PlannedWrite m_write;
  WriteStatus m_status = WriteStatus::kUnchanged;
  // Revision at which the platform holds the value, and which instances report
  // once they have it. Valid only if the value was written or is unchanged.
  std::int64_t m_revision = 0;
  // Value that the platform holds now, if it returned one with the error.
  std::string m_current;
  std::string m_message;
};

using WriteReports = std::vector<WriteReport>;

// Performs the needed writes of `plan` one after another. Continues after a
// conflict or a refusal. Once the platform was unavailable or an outcome is
// unknown, the remaining writes are not attempted and reported as kUnavailable.
WriteReports Execute(PlatformSession& platform, const WritePlan& plan);

// Prints the result of each write. A write that failed is printed with the
// desired and the current value.
void PrintReports(const Invocation& invocation, const WriteReports& reports);

// Returns the exit code of the most severe result.
ExitCode ToExitCode(const WriteReports& reports);

// Executes the plan and prints the results. If --wait is given, then waits
// until the instances report the highest revision among the written values.
ExitCode ExecuteAndWait(const Invocation& invocation,
                        PlatformSession& platform,
                        const WritePlan& plan);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_OBJECT_WRITE_H_
