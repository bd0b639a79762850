#include "process_rig.hpp"

#include <catch2/catch.hpp>

#include <fstream>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

/// By which a change that comes after the entry must be in force.
constexpr milliseconds settle{4000};
/// How often ended processes are started again.
constexpr milliseconds restart_interval{200};
constexpr std::string_view last_target = "new-2";

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

/// An entry of a target that is sound but for one more field.
std::string target_with(const std::string& value) {
    return R"({"service":"old","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":4,)"
           R"("state":"draining","cold-remaining-ms":0,"sequence":1,"born":1,"models":[],"odd":)" +
           value + "}";
}

std::size_t ends = 0;

loop::task<void> wait_restarting(process_rig& rig, milliseconds length) {
    const auto until = loop::after(length);
    while (loop::steady_clock::now() < until) {
        ends += restart_ended(rig);
        co_await loop::pause_for(rig.io, restart_interval);
    }
}

} // namespace

TEST_CASE(
    "odd entries in a list cost no process, no host its list, and no restarted host its start",
    "[soak][odd]") {
    // Guards against one entry of another writer that ends the hosts that read it, or makes the
    // whole list unreadable.
    const auto [kind, odd_values] = GENERATE(table<std::string, std::vector<std::string>>(
        {{"servers", {nested(100000)}},
         {"cornelloom-hosts", {nested(100000)}},
         {"servers", {"1e999999", R"("\ud800")", "\"\xff\"", "18446744073709551615"}}}));
    INFO(kind << ' ' << odd_values.size());
    ends = 0;
    process_rig rig(86);
    start_processes(rig, 3);
    loop::deadline changed;
    loop::deadline restarted;
    play(rig, [&]() -> loop::task<void> {
        for (std::size_t each = 0; each < odd_values.size(); ++each) {
            standins::put_raw(*rig.platform, kind, "a-odd-" + std::to_string(each),
                              target_with(odd_values[each]));
        }
        co_await wait_restarting(rig, 1500ms);
        route_to(rig, 2, "new");
        standins::remove(*rig.platform, "servers", rig.targets.back()->id);
        co_await wait_restarting(rig, settle);
        changed = loop::steady_clock::now();
        co_await wait_restarting(rig, 1000ms);
        for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
            restart(rig, host);
            co_await wait_restarting(rig, 2500ms);
        }
        restarted = loop::steady_clock::now();
        co_await wait_restarting(rig, 1000ms);
    });
    CHECK(ends == 0);
    for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
        INFO("host " << host);
        CHECK(count_served(rig, host, changed) > 0);
        CHECK(count_served(rig, host, restarted) > 0);
    }
    for (const auto& run : rig.runs) {
        const bool by_gone_target = run.target == last_target && run.sent > changed;
        CHECK_FALSE(by_gone_target);
    }
}

namespace {

constexpr std::size_t object_bytes = 1'000'000;
constexpr int large_entries = 50;
/// Below the memory of a small host, 110 MB.
constexpr std::size_t peak_mb = 80;

std::string repeated(std::string_view part, std::size_t bytes) {
    std::string out;
    while (out.size() < bytes) {
        out += part;
    }
    return out;
}

/// The largest memory that the process has had.
std::size_t peak_memory_mb(int process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return 0;
}

void check_peaks(const process_rig& rig) {
    for (const auto& host : rig.hosts) {
        const auto peak = peak_memory_mb(host->process.id());
        UNSCOPED_INFO(host->settings.host << " has had " << peak << " MB");
        CHECK(peak > 0);
        CHECK(peak <= peak_mb);
    }
}

} // namespace

TEST_CASE("fifty entries of the largest size fit into the memory of a small host", "[soak][odd]") {
    // Guards against hosts that are killed for their memory, again after each restart.
    const std::string kind = GENERATE("config", "servers");
    const std::vector<std::string> values{
        nested(object_bytes / 2), "[" + repeated("[],", object_bytes) + "[]]",
        "[" + repeated("{},", object_bytes) + "1]", '"' + repeated("x", object_bytes) + '"'};
    INFO(kind);
    process_rig rig(93);
    start_processes(rig, 2);
    ends = 0;
    play(rig, [&]() -> loop::task<void> {
        for (int entry = 0; entry < large_entries; ++entry) {
            const auto& value = values.at(static_cast<std::size_t>(entry) % values.size());
            standins::put_raw(*rig.platform, kind, "a-odd-" + std::to_string(entry),
                              target_with(value));
            co_await wait_restarting(rig, 40ms);
        }
        co_await wait_restarting(rig, 2000ms);
        check_peaks(rig);
        for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
            restart(rig, host);
        }
        co_await wait_restarting(rig, 5000ms);
        check_peaks(rig);
    });
    CHECK(ends == 0);
}
