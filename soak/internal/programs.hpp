#pragma once

#include "front/types.hpp"
#include "soak/internal/proxy.hpp"

#include <boost/process/child.hpp>

#include <filesystem>
#include <string>

namespace cornelloom::soak {

/// One process of the system under test, started again whenever it ends.
struct program {
    front::host_settings settings;
    std::filesystem::path executable;
    std::filesystem::path folder; ///< Its settings and logs.
    proxy_ptr store_way;          ///< Its own link to the store.

    boost::process::child process{};
    int boot = 0;
    bool ready = false;
    bool paused = false;
    bool wanted_down = false;   ///< Not started again for now.
    loop::deadline term_sent{}; ///< Zero: it was not asked to end.
    loop::deadline harmed{};    ///< The last moment at which it was killed, paused or resumed.
    std::uint64_t newest_configuration = 0; ///< That this boot has shown to a caller.
    loop::deadline newest_since{};
};

void start(program& one);

/// Sends a signal to the process that this soak started.
void signal(program& one, int number);

/// Notices an end and starts the process anew. True if it ended without having been told to.
bool tend(program& one);

} // namespace cornelloom::soak
