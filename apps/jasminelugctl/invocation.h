#ifndef APPS_JASMINELUGCTL_INVOCATION_H_
#define APPS_JASMINELUGCTL_INVOCATION_H_

#include <ostream>

#include "apps/jasminelugctl/options.h"

namespace jasminelug::ctl {

// One run of the program: what is asked, and where results and messages go.
struct Invocation {
  Options m_options;
  std::ostream& m_out;
  std::ostream& m_err;
};

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_INVOCATION_H_
