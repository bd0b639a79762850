#pragma once

#include "config/settings.hpp"

#include <atomic>
#include <memory>

namespace cornelloom::daemon {

/// One daemon: wires the libraries together and serves until it is told to leave.
class daemon {
public:
    /// Binds its ports; throws std::runtime_error when one is taken or a key cannot be read.
    explicit daemon(config::daemon_settings settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Serves until `stop` is set or an operator drains the host, then shuts down gracefully: not
    /// ready, refuse new work, finish what is in flight, hand over, leave.
    void run(const std::atomic<bool>& stop);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace cornelloom::daemon
