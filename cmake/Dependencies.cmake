# Libraries that the project uses. All come from Debian's -dev packages; scripts/packages.txt lists them.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(GTest REQUIRED)
find_package(benchmark REQUIRED)
find_package(CapnProto REQUIRED)
find_package(rapidcheck REQUIRED)

find_library(INIH_LIBRARY inih REQUIRED)
find_library(HTTPLIB_LIBRARY cpp-httplib REQUIRED)
find_library(KJ_TLS_LIBRARY kj-tls REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

add_library(ibislock_httplib INTERFACE)
target_compile_definitions(ibislock_httplib INTERFACE CPPHTTPLIB_OPENSSL_SUPPORT CPPHTTPLIB_ZLIB_SUPPORT
                                                      CPPHTTPLIB_BROTLI_SUPPORT)
target_link_libraries(ibislock_httplib INTERFACE ${HTTPLIB_LIBRARY} OpenSSL::SSL OpenSSL::Crypto Threads::Threads)

# easylogging++ is shipped as a source file; it is built once here.
add_library(ibislock_easylogging STATIC ${CMAKE_SOURCE_DIR}/cmake/easylogging.cpp)
target_compile_definitions(ibislock_easylogging PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE
                                                       ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_link_libraries(ibislock_easylogging PUBLIC Threads::Threads)
