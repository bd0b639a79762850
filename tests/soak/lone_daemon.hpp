#pragma once

#include "child_process.hpp"

#include "front/types.hpp"

#include <string>
#include <string_view>

namespace cornelloom::soak {

/// A cornelloom_frontd that has no store, at 127.112.1.NUMBER.
struct lone_daemon : child_process {
    explicit lone_daemon(int number);

    front::host_settings settings;
};

void write_settings(const lone_daemon& one);

/// Starts the program under test, or the one that CORNELLOOM_TEST_FRONTD names, to compare with.
void start(lone_daemon& one, std::uint16_t metrics_port = 0);

[[nodiscard]] bool has_event(const lone_daemon& one, std::string_view event);

/// Whether it answers at its readiness address; without a store it is never ready.
[[nodiscard]] bool answers(const lone_daemon& one);

} // namespace cornelloom::soak
