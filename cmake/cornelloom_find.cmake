# Finds the outside libraries that the libraries of cornelloom stand on. Used by the build and, as
# part of the installed package, by those who embed them.
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
