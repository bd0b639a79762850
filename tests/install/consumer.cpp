/// Uses the installed libraries by their public headers, as a project of others would.

#include "client/client.hpp"
#include "config/config.hpp"
#include "coord/coord.hpp"
#include "decide/decide.hpp"
#include "kernel/kernel.hpp"
#include "rollout/rollout.hpp"
#include "transport/transport.hpp"

#include <iostream>

int main() {
    using namespace cornelloom;
    const config::config_file files[] = {{"zones.json", R"({"zones":[{"id":"a","region":"r"}]})"}};
    const auto loaded = config::load_configuration(files);
    client::client_options options;
    options.daemons.push_back({"127.0.0.1", 1});
    const client::caller_client caller(options);
    std::cout << "zones: " << (loaded.has_value() ? loaded.value().zones.size() : 0) << '\n';
    return loaded.has_value() ? 0 : 1;
}
