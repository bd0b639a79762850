#pragma once

/// What is still served while the platform is in trouble. The table of docs/OPERATIONS.md; a test
/// compares the two.

#include "kernel/refusal.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornelloom::coord {

enum class platform_condition {
    healthy,
    slow,        ///< Answers late, but inside the call's timeout.
    throttling,  ///< Refuses calls and names a time to wait.
    answer_lost, ///< Writes take effect and their answers do not arrive.
    down_short,  ///< Down for less than a lease's term.
    down_long,   ///< Down for longer than a lease's term.
};

inline constexpr std::size_t platform_condition_count =
    static_cast<std::size_t>(platform_condition::down_long) + 1;

[[nodiscard]] std::string_view to_string(platform_condition condition);

/// What callers, trainers and operators want of the system.
enum class service_kind {
    lookup,            ///< An idempotent request.
    resend_known,      ///< A re-sent key whose outcome its holder has in memory.
    first_claim,       ///< A non-idempotent request with a new key.
    rollout_step,      ///< Samples for a step that has an owner.
    new_step,          ///< A step that nobody owns yet.
    weight_order,      ///< An order to engines under the pool's lease.
    configuration_use, ///< Requests under the configuration in force.
    apply,             ///< A new configuration.
    host_restart,      ///< A restarted host becoming ready.
    membership,        ///< Liveness and leaving marks.
};

inline constexpr std::size_t service_kind_count =
    static_cast<std::size_t>(service_kind::membership) + 1;

[[nodiscard]] std::string_view to_string(service_kind service);

enum class service_level {
    served,  ///< As always.
    delayed, ///< Served later, inside the request's deadline, or else refused.
    refused,
};

struct trouble_entry {
    service_level level = service_level::served;
    /// Why a refusal is refused: at the deadline if `delayed`, at once if `refused`.
    std::optional<kernel::refusal_reason> reason;
    bool operator==(const trouble_entry&) const = default;
};

[[nodiscard]] trouble_entry served_during(platform_condition condition, service_kind service);

/// `served`, `delayed, then REASON` or `refused: REASON`, as it stands in the table.
[[nodiscard]] std::string to_string(const trouble_entry& entry);

} // namespace cornelloom::coord
