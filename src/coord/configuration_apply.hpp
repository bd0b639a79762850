#pragma once

/// Puts a configuration set in force: bodies first, then one conditional update of the head.

#include "coord/configuration.hpp"

#include <map>

namespace cornelloom::coord {

struct apply_settings {
    kernel::duration give_up_after = std::chrono::seconds{30};
    backoff_settings retry{};
    std::size_t part_limit = configuration_part_limit;
};

/// What an operator asks for.
struct apply_request {
    std::string apply_id;          ///< Unique; the same when the same apply is sent again.
    std::uint64_t based_on = 0;    ///< The generation that the operator started from.
    std::uint64_t fleet_floor = 0; ///< The highest generation in force on any known host: lets an
                                   ///< apply get past a platform whose head went backwards.
    std::string body;              ///< The encoded set.
};

enum class apply_status {
    in_force,     ///< It took effect, as `generation`.
    lost_race,    ///< It did not take effect: another apply came first; `current` tells which.
    not_applied,  ///< It did not take effect: the platform could not be reached in time.
    undetermined, ///< The head write may have taken effect; repeat with the same apply id.
};

struct apply_result {
    apply_status status = apply_status::undetermined;
    std::uint64_t generation = 0;
    configuration_head current; ///< The head as last read.
};

enum class apply_phase { reading_head, writing_parts, writing_head, finished };

struct configuration_apply {
    apply_settings settings;
    apply_request request;
    apply_phase phase = apply_phase::reading_head;
    kernel::time_point give_up_at{};
    std::vector<std::string> parts; ///< Digests, in order.
    std::map<std::string, std::string, std::less<>> unwritten;
    configuration_head current; ///< As last read.
    std::uint64_t current_version = 0;
    bool head_in_doubt = false; ///< A head write was sent and its answer lost.
    std::uint64_t written_generation = 0;
    std::optional<std::uint64_t> pending;
    kernel::time_point next_action{};
    unsigned failures = 0;
    std::uint64_t next_token = 1;
};

struct apply_tick {};

using apply_event = std::variant<apply_tick, platform_answer>;

struct apply_effects {
    std::vector<platform_call> calls;
    std::optional<apply_result> finished;
    kernel::time_point next{};
};

[[nodiscard]] configuration_apply make_apply(const apply_settings& settings, apply_request request,
                                             kernel::time_point now);

[[nodiscard]] apply_effects step(configuration_apply& state, const apply_event& event,
                                 kernel::time_point now);

} // namespace cornelloom::coord
