# Functions that declare packages and their test programs.

include(CMakeParseArguments)

# Declares the package NAME as a static library from the .cc files beside its
# CMakeLists.txt. DEPS lists the packages that it depends on, LIBS the system
# libraries.
function(jasminelug_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cc internal/*.cc)
  if(NOT SOURCES)
    add_library(jasminelug_${NAME} INTERFACE)
    set(SCOPE INTERFACE)
  else()
    add_library(jasminelug_${NAME} STATIC ${SOURCES})
    set(SCOPE PUBLIC)
  endif()
  target_include_directories(jasminelug_${NAME} ${SCOPE} ${PROJECT_SOURCE_DIR})
  foreach(DEP ${ARG_DEPS})
    target_link_libraries(jasminelug_${NAME} ${SCOPE} jasminelug_${DEP})
  endforeach()
  target_link_libraries(jasminelug_${NAME} ${SCOPE} ${ARG_LIBS})
endfunction()

# Declares the CppUnit test program test_NAME from the *_test.cc files beside
# its CMakeLists.txt and registers it with CTest.
function(jasminelug_test NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS;ARGS" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *_test.cc)
  if(NOT SOURCES)
    return()
  endif()
  add_executable(test_${NAME} ${SOURCES} ${PROJECT_SOURCE_DIR}/test/test_main.cc)
  foreach(DEP ${ARG_DEPS})
    target_link_libraries(test_${NAME} PRIVATE jasminelug_${DEP})
  endforeach()
  target_link_libraries(test_${NAME} PRIVATE ${ARG_LIBS} cppunit)
  target_include_directories(test_${NAME} PRIVATE ${PROJECT_SOURCE_DIR})
  add_test(NAME ${NAME} COMMAND test_${NAME} ${ARG_ARGS})
endfunction()
