#include "apps/jasminelugctl/help.h"

namespace jasminelug::ctl {

const char* HelpText() {
  return R"(usage: jasminelugctl [OPTION]... COMMAND [ARGUMENT]...

Options
  --platform IP:PORT   the platform's object API; needed by all commands but
                       status, timeline, metrics and database switchover
  --admin IP:PORT      an instance's operators' listener; may be repeated or be
                       a list with commas. Needed by status, timeline, metrics,
                       database switchover and --wait
  --json               print JSON for programs instead of tables
  --wait SECONDS       after a change, wait until each instance of --admin
                       reports it as installed
  --help, --version

Commands, each with an example
  config apply FILE       write the objects of FILE that differ
      jasminelugctl --platform 10.0.0.1:7400 config apply fleet.json
  config show             print the configuration as such a file
      jasminelugctl --platform 10.0.0.1:7400 config show > fleet.json
  config validate FILE    check FILE; needs no platform
      jasminelugctl config validate fleet.json
  config diff FILE        show what config apply would write
      jasminelugctl --platform 10.0.0.1:7400 config diff fleet.json
  key grant CUSTOMER      make a key and print it, this once
      jasminelugctl --platform 10.0.0.1:7400 key grant caroni
  key withdraw ID         let a key stop working
      jasminelugctl --platform 10.0.0.1:7400 --admin 10.0.1.1:7500
          --wait 10 key withdraw k0123456789abcdef
  key list                list the keys' ids, customers and states
      jasminelugctl --platform 10.0.0.1:7400 key list
  zone out NAME           give an availability zone no new work
      jasminelugctl --platform 10.0.0.1:7400 zone out arima
  zone in NAME            bring it back
      jasminelugctl --platform 10.0.0.1:7400 zone in arima
  zone status             list the availability zones
      jasminelugctl --platform 10.0.0.1:7400 zone status
  profile set NAME FIELD=VALUE...   change fields of a profile
      jasminelugctl --platform 10.0.0.1:7400 profile set clerk burst=40
  profile list            list the profiles
      jasminelugctl --platform 10.0.0.1:7400 profile list
  database list           list the databases
      jasminelugctl --platform 10.0.0.1:7400 database list
  database leave NAME     give a database no new work
      jasminelugctl --platform 10.0.0.1:7400 database leave beds-2
  database return NAME    bring it back
      jasminelugctl --platform 10.0.0.1:7400 database return beds-2
  database switchover NAME MEMBER   let MEMBER become the primary
      jasminelugctl --admin 10.0.1.1:7500 database switchover beds-1 m2
  customer list           list the customers
      jasminelugctl --platform 10.0.0.1:7400 customer list
  instances               list the platform's view of the instances; it lags
      jasminelugctl --platform 10.0.0.1:7400 instances
  status                  show what each instance knows
      jasminelugctl --admin 10.0.1.1:7500,10.0.1.2:7500 status
  timeline [--request ID] [--customer N] [--database N] [--zone Z]
                          show the events of all instances in one order
      jasminelugctl --admin 10.0.1.1:7500 timeline --database beds-1
  metrics                 show each instance's metrics
      jasminelugctl --admin 10.0.1.1:7500 metrics

Exit codes
  0  done; nothing differed, or all was written
  1  refused, invalid, or another writer was first: nothing was overwritten
  2  usage
  3  the platform or an instance does not answer, or the outcome is unknown
  4  written, but --wait ran out before every instance reported it
)";
}

}  // namespace jasminelug::ctl
