/// Costs of the coordination library in one process, as JSON lines: members at rest and under
/// applies, how news spreads, and platform writes against claims. No sockets; simulated time.

#include "bench/internal/coord_claims.hpp"
#include "bench/internal/coord_members.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>

using namespace cornelloom;
using namespace cornelloom::coord_bench;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

template <class T> T at_share(const std::vector<T>& sorted, double share) {
    if (sorted.empty()) {
        return T{};
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share + 0.5)];
}

double in_seconds(kernel::duration span) {
    return std::chrono::duration<double>(span).count();
}

json describe(const std::vector<kernel::duration>& sorted, std::size_t expected) {
    return {{"known_by", sorted.size()},
            {"of", expected},
            {"p50_s", in_seconds(at_share(sorted, 0.5))},
            {"p99_s", in_seconds(at_share(sorted, 0.99))},
            {"max_s", in_seconds(at_share(sorted, 1.0))}};
}

/// What a host spends over `span`, from the totals of the fleet.
json cost(simulated_fleet& fleet, kernel::duration span) {
    const auto before = fleet.counted();
    fleet.run(span);
    const auto after = fleet.counted();
    const double host_seconds = in_seconds(span) * static_cast<double>(fleet.running());
    const auto steps = static_cast<double>(after.steps - before.steps);
    const auto machine_ns = static_cast<double>(after.machine_ns - before.machine_ns);
    return {
        {"datagrams_per_s", static_cast<double>(after.datagrams - before.datagrams) / host_seconds},
        {"sent_bytes_per_s", static_cast<double>(after.bytes - before.bytes) / host_seconds},
        {"steps_per_s", steps / host_seconds},
        {"ns_per_step", machine_ns / std::max(steps, 1.0)},
        {"core_share", machine_ns / 1e9 / host_seconds}};
}

void bench_members(std::size_t hosts) {
    simulated_fleet fleet(hosts);
    const auto all_known = [&](const coord::membership& host) {
        return coord::live_members(host).size() == hosts;
    };
    json line{{"bench", "membership"}, {"hosts", hosts}};
    line["join"] = describe(fleet.spread(all_known, 120s), hosts);
    fleet.run(60s);
    line["rest"] = cost(fleet, 60s);

    fleet.adopt_hints(true);
    fleet.send(0, coord::configuration_in_force{{1, "0123456789abcdef0123456789abcdef"}});
    const auto in_force = [](const coord::membership& host) {
        return host.configuration.generation >= 1;
    };
    line["generation_in_force"] = describe(fleet.spread(in_force, 60s), hosts);
    fleet.run(60s);
    fleet.send(0, coord::configuration_in_force{{2, "1123456789abcdef0123456789abcdef"}});
    // 1,300 changes a day are one in 66 s.
    line["one_apply_in_66_s"] = cost(fleet, 66s);

    // Several marks one after the other, since a rare miss is what matters.
    std::vector<kernel::duration> marks;
    for (std::size_t host = 3; host < 8; ++host) {
        fleet.send(host, coord::leaving_announced{});
        const auto mark_known = [&](const coord::membership& other) {
            const auto found = other.members.find(simulated_fleet::id(host));
            return found != other.members.end() && found->second.leaving;
        };
        std::ranges::copy(fleet.spread(mark_known, 60s), std::back_inserter(marks));
    }
    std::ranges::sort(marks);
    line["leaving_marks"] = describe(marks, 5 * hosts);
    fleet.kill(2);
    const auto death_known = [](const coord::membership& host) {
        const auto found = host.members.find(simulated_fleet::id(2));
        return found != host.members.end() && found->second.state == coord::member_state::dead;
    };
    line["death"] = describe(fleet.spread(death_known, 120s), hosts - 1);
    std::cout << line.dump() << std::endl;
}

void bench_claims(const claims_load& load) {
    auto report = run_claims(load);
    std::ranges::sort(report.added_ms);
    const double span = in_seconds(load.span);
    const auto claims = static_cast<double>(std::max<std::uint64_t>(report.claims, 1));
    std::cout << json{{"bench", "claims"},
                      {"claims_per_s", load.claims_per_second},
                      {"commit_every_ms", in_seconds(load.commit_every) * 1000},
                      {"head_limit", load.head_limit},
                      {"simulated_s", span},
                      {"granted", report.added_ms.size()},
                      {"refused", report.refused},
                      {"writes_per_s", static_cast<double>(report.writes) / span},
                      {"writes_per_claim", static_cast<double>(report.writes) / claims},
                      {"written_bytes_per_s", static_cast<double>(report.written_bytes) / span},
                      {"largest_value", report.largest_value},
                      {"added_p50_ms", at_share(report.added_ms, 0.5)},
                      {"added_p99_ms", at_share(report.added_ms, 0.99)},
                      {"ns_per_claim", report.ns_per_claim},
                      {"memory_bytes", report.memory},
                      {"takeover_calls", report.takeover_reads}}
                     .dump()
              << std::endl;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Costs of the coordination library, as JSON lines"};
    std::vector<std::size_t> sizes{8, 40, 80, 160, 370};
    app.add_option("--hosts", sizes, "Sizes of the simulated fleets");
    bool skip_members = false;
    app.add_flag("--claims-only", skip_members, "Leave the members out");
    CLI11_PARSE(app, argc, argv);

    if (!skip_members) {
        std::ranges::for_each(sizes, bench_members);
    }
    for (const double rate : {1.0, 10.0, 100.0, 500.0}) {
        for (const auto commit_every : {20ms, 100ms, 250ms}) {
            bench_claims({.claims_per_second = rate, .commit_every = commit_every});
        }
    }
    // Archives before removal, against heads that keep everything.
    for (const std::size_t limit : {std::size_t{2048}, std::size_t{4096}, std::size_t{8192},
                                    std::size_t{32768}, coord::platform_value_limit * 2}) {
        bench_claims({.claims_per_second = 10, .head_limit = limit, .span = 120s});
    }
    return 0;
}
