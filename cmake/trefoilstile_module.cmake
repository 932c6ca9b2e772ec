# Compile options of every target, and the function that declares a module with its test program.

add_library(trefoilstile_options INTERFACE)
target_include_directories(trefoilstile_options INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_options(trefoilstile_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wconversion -Wno-sign-conversion)
if(TREFOILSTILE_WERROR)
  target_compile_options(trefoilstile_options INTERFACE -Werror)
endif()
if(TREFOILSTILE_SANITIZE)
  target_compile_options(trefoilstile_options INTERFACE -fsanitize=${TREFOILSTILE_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  target_link_options(trefoilstile_options INTERFACE -fsanitize=${TREFOILSTILE_SANITIZE})
endif()
target_link_libraries(trefoilstile_options INTERFACE Threads::Threads)

# Boost 1.74 headers give warnings of their own and miss <utility> in C++20; modules that use Asio or Beast link this.
add_library(trefoilstile_asio INTERFACE)
target_link_libraries(trefoilstile_asio INTERFACE Boost::boost)
target_compile_options(trefoilstile_asio INTERFACE -include utility -Wno-maybe-uninitialized)

# trefoilstile_module(NAME SOURCES a.cpp ... DEPENDS target ... TESTS a_test.cpp ...)
# Declares the static library trefoilstile_NAME and, if TESTS is given, the program NAME_test registered with CTest.
# A module that has headers only gives no SOURCES and becomes an interface library.
function(trefoilstile_module name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  if(arg_SOURCES)
    add_library(trefoilstile_${name} STATIC ${arg_SOURCES})
    target_link_libraries(trefoilstile_${name} PUBLIC trefoilstile_options ${arg_DEPENDS})
  else()
    add_library(trefoilstile_${name} INTERFACE)
    target_link_libraries(trefoilstile_${name} INTERFACE trefoilstile_options ${arg_DEPENDS})
  endif()
  if(arg_TESTS)
    trefoilstile_test(${name}_test SOURCES ${arg_TESTS} DEPENDS trefoilstile_${name} ${arg_TEST_DEPENDS})
  endif()
endfunction()

# trefoilstile_test(NAME SOURCES a_test.cpp ... DEPENDS target ...)
function(trefoilstile_test name)
  if(NOT TREFOILSTILE_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE trefoilstile_test_main ${arg_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
  # A fixed seed gives the same verdict on every run. With sanitizers, ingress_test takes up to 4 minutes beside other tests.
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 900)
endfunction()
