// The operators' client; see help.cc.

#include <iostream>

#include "apps/jasminelugctl/program.h"

int main(int argc, char** argv) {
  const char** arguments = const_cast<const char**>(argv);
  return static_cast<int>(
      jasminelug::ctl::RunProgram(argc, arguments, std::cout, std::cerr));
}
