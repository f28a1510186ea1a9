# Compiler warnings, for our own code only. g++ 12 reports kj::Maybe as uninitialized, and overlapping copies in std::string, where there are none.
add_library(ibislock_warnings INTERFACE)
target_compile_options(ibislock_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Woverloaded-virtual
                                                   -Wno-missing-field-initializers
                                                   $<$<CXX_COMPILER_ID:GNU>:-Werror -Wno-maybe-uninitialized -Wno-restrict>)

# ibislock_library(NAME DEPENDS ...) builds libs/NAME from src/ and its test program from test/.
function(ibislock_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/*.S src/*.c++)
    add_library(ibislock_${name} STATIC ${sources})
    target_include_directories(ibislock_${name} PUBLIC include PRIVATE src)
    target_link_libraries(ibislock_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ibislock_warnings)

    file(GLOB tests CONFIGURE_DEPENDS test/*.cpp)
    if(tests)
        add_executable(${name}_test ${tests})
        target_include_directories(${name}_test PRIVATE src test)
        target_link_libraries(${name}_test PRIVATE ibislock_${name} ${ARG_TEST_DEPENDS} ibislock_warnings rapidcheck
                                                   GTest::gtest GTest::gtest_main)
        target_compile_definitions(${name}_test PRIVATE IBISLOCK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
        add_test(NAME ${name} COMMAND ${name}_test)
        set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100" TIMEOUT 300)
    endif()
endfunction()
