#ifndef APPS_JASMINELUGCTL_INVOCATION_H_
#define APPS_JASMINELUGCTL_INVOCATION_H_

#include <ostream>

#include "apps/jasminelugctl/options.h"

namespace jasminelug::ctl {

// Holds one run of the program: its command line, the stream for results
// (m_out) and the stream for messages and progress (m_err).
struct Invocation {
  Options m_options;
  std::ostream& m_out;
  std::ostream& m_err;
};

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_INVOCATION_H_
