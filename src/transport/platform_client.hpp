#pragma once

#include "coord/platform.hpp"
#include "kernel/metrics.hpp"
#include "transport/http_client.hpp"

#include <mutex>

namespace cornelloom::transport {

struct platform_client_settings {
    endpoint platform;
    std::string token{}; ///< Sent as `Authorization: Bearer`; empty: none.
    kernel::duration call_timeout = std::chrono::seconds{5};
    /// How long a call may wait for the budget before it is given back as throttled.
    kernel::duration max_budget_wait = std::chrono::milliseconds{500};
    std::size_t max_listing_bytes = 64U << 20U;
    coord::budget_settings budget{};
};

/// Makes the calls of coord's state machines over HTTP, as docs/OUTSIDE.md describes them. Each is
/// sent at most once: repeating is the state machine's decision. Thread-safe; a call blocks.
///
/// Counters: `cornelloom_platform_calls_total{kind,outcome}`, and the distribution
/// `cornelloom_platform_call_seconds{kind}`.
class platform_client {
public:
    platform_client(platform_client_settings settings, const kernel::runtime_clock& clock,
                    kernel::metrics& metrics);

    /// A write whose answer was lost is `call_unknown`; a read then is `call_outage`, since it
    /// changed nothing. Over the budget: `call_throttled`, nothing was sent.
    [[nodiscard]] coord::platform_answer perform(const coord::platform_call& call,
                                                 call_control* control = nullptr);

    [[nodiscard]] coord::call_counts counts(coord::call_kind kind) const;

private:
    [[nodiscard]] kernel::duration wait_for_budget(coord::call_kind kind);

    platform_client_settings settings_;
    const kernel::runtime_clock& clock_;
    kernel::metrics& metrics_;
    mutable std::mutex mutex_;
    coord::platform_budget budget_; ///< Under the mutex.
};

} // namespace cornelloom::transport
