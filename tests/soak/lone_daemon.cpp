#include "lone_daemon.hpp"

#include "platform/standins/callers.hpp"

#include <cstdlib>

namespace cornelloom::soak {

using namespace std::chrono_literals;

lone_daemon::lone_daemon(int number) : child_process("lone-" + std::to_string(number)) {
    const auto address = "127.112.1." + std::to_string(number);
    settings.host = name;
    settings.zone = "zone-a";
    settings.region = "region";
    settings.region_of_zone = {{"zone-a", "region"}};
    settings.caller_endpoint = {address, 7101};
    settings.readiness_endpoint = {address, 7102};
    settings.peer_endpoint = {address, 7103};
    settings.platform = {address, 7001};
    settings.grace_period = 1s;
}

void write_settings(const lone_daemon& one) {
    one.write("toml", platform::standins::settings_text(one.settings));
}

void start(lone_daemon& one, std::uint16_t metrics_port) {
    const char* other = std::getenv("CORNELLOOM_TEST_FRONTD");
    one.start(
        other == nullptr ? CORNELLOOM_FRONTD : other,
        {"--settings", one.file("toml").string(), "--metrics-port", std::to_string(metrics_port)});
}

bool has_event(const lone_daemon& one, std::string_view event) {
    return one.read("out").find('"' + std::string(event) + '"') != std::string::npos;
}

bool answers(const lone_daemon& one) {
    return get_status(one.settings.readiness_endpoint, "/ready") != 0;
}

} // namespace cornelloom::soak
