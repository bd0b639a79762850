#pragma once

#include "soak/internal/faults.hpp"
#include "soak/internal/programs.hpp"
#include "soak/internal/promises.hpp"

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cornelloom::soak {

struct day_options {
    std::filesystem::path executable; ///< The daemon under test.
    std::filesystem::path folder;     ///< Settings and logs of its processes.
    std::uint64_t seed = 1;
    int hosts = 4;
    int engines = 4;
    int services = 3; ///< Targets of the plain service.
    int callers = 4;
    int trainers = 2;
    double troubles_s = 12;
    double calm_s = 0; ///< Seconds without troubles before the planned work.
    int network = 1;   ///< Addresses 127.NETWORK.x.y, one for each soak that runs at a time.
};

struct day_result {
    std::vector<std::string> broken;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusals = 0;
    std::uint64_t steps = 0;
    std::uint64_t store_calls = 0;
    std::vector<std::string> troubles; ///< As they were played.
};

/// A target with its proxy.
struct played_target {
    standins::target_ptr target;
    proxy_ptr way;
    bool crashed = false;
};

/// All that one day plays on one loop; the processes under test run beside it.
struct day {
    explicit day(const day_options& given);

    day_options options;
    loop::io_context io{1};
    std::mt19937_64 random;
    ledger book{};
    standins::store_ptr platform;
    std::vector<std::unique_ptr<program>> hosts{};
    std::vector<played_target> targets{};
    std::vector<std::string> models{};
    std::uint64_t configuration = 0;
    std::map<std::uint64_t, deadline> configured{}; ///< When each version was stored.
    std::map<std::string, deadline> revoked{};      ///< Keys, and when they were taken away.
    std::vector<std::string> played{};
    bool over = false; ///< Callers and trainers stop.
    int busy = 0;      ///< Callers and trainers that still run.
    std::uint64_t next_id = 0;
};

/// Plays a day: troubles, then calm with planned work, then every process killed at once, then the
/// last readings.
[[nodiscard]] day_result play(const day_options& options);

/// A fresh request id.
[[nodiscard]] std::string make_id(day& self);

/// The host that a caller's request goes to, or null while no process listens.
[[nodiscard]] program* choose_host(day& self);

/// The name under which all routes stand.
inline constexpr std::string_view route_host = "soak.example";

/// The client accounts of callers and of trainers.
inline constexpr std::string_view caller_account = "callers";
inline constexpr std::string_view trainer_account = "trainers";

/// The priority of an account in every configuration.
[[nodiscard]] inline int rank_of(std::string_view account) {
    constexpr int caller_rank = 2;
    constexpr int trainer_rank = 4;
    return account == trainer_account ? trainer_rank : caller_rank;
}

/// A key of the account that the newest configuration holds, as does the one before it.
[[nodiscard]] std::string key_of(const day& self, std::string_view account);

/// Stores the next version of the configuration, which adds one more route and takes
/// the oldest key of each account away.
void configure(day& self);

} // namespace cornelloom::soak
