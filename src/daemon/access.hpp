#pragma once

#include "daemon/context.hpp"

#include <optional>

namespace cornelloom::daemon {

/// The caller whose token a request carries, with the configuration that says so (kept alive).
struct authenticated {
    std::shared_ptr<const active_configuration> active;
    const config::caller* caller = nullptr;
};

/// Nothing when the token is missing or no caller has it.
[[nodiscard]] std::optional<authenticated> authenticate(const context& shared,
                                                        const transport::http_request& request);

/// The refusal for a missing token or a missing right.
[[nodiscard]] kernel::refusal unauthorized(std::string detail);

} // namespace cornelloom::daemon
