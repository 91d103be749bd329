# Declares one package of the workspace.
#
# bramleyrail_package(NAME
#   [DEPENDS package...]   other packages, by name
#   [LIBRARIES target...]  external libraries
# )
# Every *.cc of the folder goes into the static library bramleyrail_NAME,
# fakes/*.cc into bramleyrail_NAME_fakes (when there are any), and
# tests/*_test.cc into one CppUTest program NAME_tests that ctest runs.
find_package(absl REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
find_package(rapidcheck REQUIRED)

find_package(nlohmann_json REQUIRED)

# Holds the precompiled header that all packages share. GCC uses it only in
# sources with the same macros, so those of the libraries are set everywhere.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
foreach(library HTTPLIB LOG4CXX)
  foreach(flag ${${library}_CFLAGS})
    if(flag MATCHES "^-D")
      add_compile_options(${flag})
    endif()
  endforeach()
endforeach()
add_library(bramleyrail_precompiled OBJECT ${CMAKE_CURRENT_LIST_DIR}/precompiled.cc)
target_link_libraries(bramleyrail_precompiled PRIVATE
  absl::random_random absl::strings absl::synchronization
  nlohmann_json::nlohmann_json Threads::Threads)
target_precompile_headers(bramleyrail_precompiled PRIVATE
  ${CMAKE_CURRENT_LIST_DIR}/precompiled.h)

# Sets `result` to the arguments that leave out the tests of the package that
# KNOWN-RED.txt lists as "Test: GROUP.NAME (PACKAGE)". CI prints that file.
function(bramleyrail_known_failures package result)
  set(list ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  set(arguments)
  if(EXISTS ${list})
    set_property(DIRECTORY ${PROJECT_SOURCE_DIR} APPEND PROPERTY
      CMAKE_CONFIGURE_DEPENDS ${list})
    file(STRINGS ${list} lines REGEX "^Test: [A-Za-z]+\\.[A-Za-z]+ \\(${package}\\)$")
    foreach(line ${lines})
      string(REGEX REPLACE "^Test: ([A-Za-z.]+) .*$" "\\1" test "${line}")
      list(APPEND arguments --pass-over=${test})
    endforeach()
  endif()
  set(${result} ${arguments} PARENT_SCOPE)
endfunction()

function(bramleyrail_package name)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS;LIBRARIES" ${ARGN})
  set(dependencies ${PACKAGE_LIBRARIES})
  set(fake_dependencies)
  foreach(dependency ${PACKAGE_DEPENDS})
    list(APPEND dependencies bramleyrail_${dependency})
  endforeach()

  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  list(FILTER sources EXCLUDE REGEX "_main\\.cc$")
  set(library bramleyrail_${name})
  if(sources)
    add_library(${library} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${library} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${library} ${scope} ${PROJECT_SOURCE_DIR})
  if(sources)
    target_precompile_headers(${library} REUSE_FROM bramleyrail_precompiled)
  endif()
  target_link_libraries(${library} ${scope} ${dependencies} Threads::Threads)

  file(GLOB fakes CONFIGURE_DEPENDS fakes/*.cc)
  list(FILTER fakes EXCLUDE REGEX "_main\\.cc$")
  if(fakes)
    add_library(${library}_fakes STATIC ${fakes})
    target_link_libraries(${library}_fakes PUBLIC ${library})
    target_precompile_headers(${library}_fakes REUSE_FROM bramleyrail_precompiled)
    set(fake_dependencies ${library}_fakes)
  endif()

  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  if(tests AND BUILD_TESTING)
    add_executable(${name}_tests ${tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
    target_link_libraries(${name}_tests PRIVATE ${library} ${fake_dependencies}
      rapidcheck PkgConfig::CPPUTEST)
    # The definition differs between checkouts, and the compiler cache would not
    # share the other tests between them.
    foreach(test ${tests})
      file(STRINGS ${test} uses REGEX "BRAMLEYRAIL_SOURCE_FOLDER")
      if(uses)
        set_property(SOURCE ${test} APPEND PROPERTY COMPILE_DEFINITIONS
          BRAMLEYRAIL_SOURCE_FOLDER="${PROJECT_SOURCE_DIR}")
      endif()
    endforeach()
    bramleyrail_known_failures(${name} known_failures)
    add_test(NAME ${name} COMMAND ${name}_tests ${known_failures})
    set_tests_properties(${name} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
  endif()
endfunction()

# Declares a program whose entry point is NAME_main.cc in the current folder
# (or the file given with SOURCE).
function(bramleyrail_program name)
  cmake_parse_arguments(PROGRAM "" "SOURCE" "DEPENDS;LIBRARIES" ${ARGN})
  if(NOT PROGRAM_SOURCE)
    set(PROGRAM_SOURCE ${name}_main.cc)
  endif()
  add_executable(${name} ${PROGRAM_SOURCE})
  foreach(dependency ${PROGRAM_DEPENDS})
    target_link_libraries(${name} PRIVATE bramleyrail_${dependency})
  endforeach()
  target_link_libraries(${name} PRIVATE ${PROGRAM_LIBRARIES})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
