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
    bool killed = false;        ///< This boot got SIGKILL.
    loop::deadline term_sent{}; ///< Zero: this boot was not asked to end.
    loop::deadline harmed{};    ///< The last moment at which it was killed, paused or resumed.
    std::uint64_t newest_configuration = 0; ///< That this boot has shown to a caller.
    loop::deadline newest_since{};
};

void start(program& one);

/// Sends a signal to the process that this soak started.
void signal(program& one, int number);

/// Notices an end and starts the process anew. Tells how it ended, such as "signal 11", if it was
/// not told to end, or ended otherwise than told; else empty.
[[nodiscard]] std::string tend(program& one);

} // namespace cornelloom::soak
