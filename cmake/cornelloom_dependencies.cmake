# The outside libraries, all of them Debian packages, grouped by the layer that may use them.
include(cornelloom_find)
pkg_check_modules(lua REQUIRED IMPORTED_TARGET lua5.4)

add_library(cornelloom_kernel_deps INTERFACE)
target_link_libraries(cornelloom_kernel_deps INTERFACE Threads::Threads spdlog::spdlog
    prometheus-cpp::core PkgConfig::urcu_bp PkgConfig::xxhash)

add_library(cornelloom_json_deps INTERFACE)
target_link_libraries(cornelloom_json_deps INTERFACE nlohmann_json::nlohmann_json CLI11::CLI11)

add_library(cornelloom_transport_deps INTERFACE)
target_link_libraries(cornelloom_transport_deps INTERFACE 
    PkgConfig::nghttp2 PkgConfig::sodium OpenSSL::SSL nlohmann_json::nlohmann_json)
