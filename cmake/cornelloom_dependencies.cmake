# The outside libraries, all of them Debian packages, grouped by the layer that may use them.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CLI11 REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(OpenSSL REQUIRED)
pkg_check_modules(urcu_bp REQUIRED IMPORTED_TARGET liburcu-bp)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(cxxtools_http REQUIRED IMPORTED_TARGET cxxtools-http)
pkg_check_modules(lua REQUIRED IMPORTED_TARGET lua5.4)

add_library(cornelloom_kernel_deps INTERFACE)
target_link_libraries(cornelloom_kernel_deps INTERFACE Threads::Threads spdlog::spdlog
    prometheus-cpp::core PkgConfig::urcu_bp PkgConfig::xxhash)

add_library(cornelloom_json_deps INTERFACE)
target_link_libraries(cornelloom_json_deps INTERFACE nlohmann_json::nlohmann_json CLI11::CLI11)

add_library(cornelloom_transport_deps INTERFACE)
target_link_libraries(cornelloom_transport_deps INTERFACE PkgConfig::cxxtools_http
    PkgConfig::nghttp2 PkgConfig::sodium OpenSSL::SSL nlohmann_json::nlohmann_json)
