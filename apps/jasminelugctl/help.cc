#include "apps/jasminelugctl/help.h"

namespace jasminelug::ctl {

const char* HelpText() {
  return R"(usage: jasminelugctl [OPTION]... COMMAND [ARGUMENT]...

Options
  --platform IP:PORT   address of the platform's object API; required by all
                       commands except config validate, status, timeline,
                       metrics and database switchover
  --admin IP:PORT      address of an instance's admin listener; may be repeated
                       or be a comma-separated list. Required by status,
                       timeline, metrics, database switchover and --wait
  --json               print JSON instead of tables
  --wait SECONDS       after a change, wait until each instance of --admin
                       reports that it has installed the change
  --help, --version

Commands, each with an example
  config apply FILE       write the objects of FILE that differ from the
                          platform's
      jasminelugctl --platform 10.0.0.1:7400 config apply fleet.json
  config show             print the configuration in the format of FILE
      jasminelugctl --platform 10.0.0.1:7400 config show > fleet.json
  config validate FILE    check FILE without contacting the platform
      jasminelugctl config validate fleet.json
  config diff FILE        show what config apply would write
      jasminelugctl --platform 10.0.0.1:7400 config diff fleet.json
  key grant CUSTOMER      create a key and print it; it can't be shown again
      jasminelugctl --platform 10.0.0.1:7400 key grant caroni
  key withdraw ID         revoke a key
      jasminelugctl --platform 10.0.0.1:7400 --admin 10.0.1.1:7500
          --wait 10 key withdraw k0123456789abcdef
  key list                list the keys with their IDs, customers and states
      jasminelugctl --platform 10.0.0.1:7400 key list
  zone out NAME           stop sending new work to an availability zone
      jasminelugctl --platform 10.0.0.1:7400 zone out arima
  zone in NAME            send work to an availability zone again
      jasminelugctl --platform 10.0.0.1:7400 zone in arima
  zone status             list the availability zones
      jasminelugctl --platform 10.0.0.1:7400 zone status
  profile set NAME FIELD=VALUE...   change fields of a profile
      jasminelugctl --platform 10.0.0.1:7400 profile set clerk burst=40
  profile list            list the profiles
      jasminelugctl --platform 10.0.0.1:7400 profile list
  database list           list the databases
      jasminelugctl --platform 10.0.0.1:7400 database list
  database leave NAME     stop sending new work to a database
      jasminelugctl --platform 10.0.0.1:7400 database leave beds-2
  database return NAME    send work to a database again
      jasminelugctl --platform 10.0.0.1:7400 database return beds-2
  database switchover NAME MEMBER   make MEMBER the primary
      jasminelugctl --admin 10.0.1.1:7500 database switchover beds-1 m2
  customer list           list the customers
      jasminelugctl --platform 10.0.0.1:7400 customer list
  instances               list the instances as the platform sees them, with
                          some delay
      jasminelugctl --platform 10.0.0.1:7400 instances
  status                  show the status of each instance and its databases
      jasminelugctl --admin 10.0.1.1:7500,10.0.1.2:7500 status
  timeline [--request ID] [--customer N] [--database N] [--zone Z]
                          show the events of all instances, merged in order
      jasminelugctl --admin 10.0.1.1:7500 timeline --database beds-1
  metrics                 show each instance's metrics
      jasminelugctl --admin 10.0.1.1:7500 metrics

Exit codes
  0  success; all changes were written, or none was needed
  1  refused, invalid, or changed by another writer first, whose change was not
     overwritten
  2  usage error
  3  the platform or an instance did not answer, or the outcome is unknown
  4  written, but not reported by every instance within the time of --wait
)";
}

}  // namespace jasminelug::ctl
