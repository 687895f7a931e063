# Shared compiler settings and the functions that declare a layer, a program and a test program.

set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS coroutine context)
find_package(cpprestsdk REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CLI11 REQUIRED)
find_package(Catch2 REQUIRED)
find_package(rapidcheck REQUIRED)
find_package(prometheus-cpp REQUIRED)
include(Catch)

option(KC_WARNINGS_AS_ERRORS "Treat compiler warnings as errors" ON)
set(KC_SANITIZE "" CACHE STRING "Sanitizers passed to -fsanitize, empty for none")

# Fixed seed of every property test, so that CI's verdict is the same each time.
set(KC_RAPIDCHECK_PARAMS "seed=20261203" CACHE STRING "RC_PARAMS for the tests")

add_library(kc_options INTERFACE)
target_include_directories(kc_options INTERFACE "${CMAKE_SOURCE_DIR}/src")
target_compile_options(kc_options INTERFACE -Wall -Wextra)
if(KC_WARNINGS_AS_ERRORS)
  target_compile_options(kc_options INTERFACE -Werror)
endif()
# cpprestsdk's U macro breaks Boost headers.
target_compile_definitions(kc_options INTERFACE _TURN_OFF_PLATFORM_STRING BOOST_COROUTINES_NO_DEPRECATION_WARNING)
if(KC_SANITIZE)
  target_compile_options(kc_options INTERFACE -fsanitize=${KC_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(kc_options INTERFACE -fsanitize=${KC_SANITIZE})
endif()
if(KC_SANITIZE MATCHES "thread")
  # Boost.Asio uses fences, about which the compiler warns under this sanitizer.
  target_compile_options(kc_options INTERFACE -Wno-tsan)
endif()
target_link_libraries(kc_options INTERFACE Threads::Threads fmt::fmt nlohmann_json::nlohmann_json)

# kc_add_library(name SOURCES file... [DEPENDS target...])
function(kc_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC kc_options ${ARG_DEPENDS})
endfunction()

# kc_add_program(name SOURCES file... [DEPENDS target...])
function(kc_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE kc_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# kc_add_tests(name [SERIAL] SOURCES file... [DEPENDS target...])
# SERIAL: CTest runs no other test at the same time.
function(kc_add_tests name)
  cmake_parse_arguments(ARG "SERIAL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/tests")
  target_link_libraries(${name} PRIVATE kc_options kc_test_main ${ARG_DEPENDS} Catch2::Catch2 rapidcheck)
  catch_discover_tests(${name}
    PROPERTIES ENVIRONMENT "RC_PARAMS=${KC_RAPIDCHECK_PARAMS}" TIMEOUT 120
      RUN_SERIAL ${ARG_SERIAL})
endfunction()
