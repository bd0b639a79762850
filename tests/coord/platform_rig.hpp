#pragma once

#include "fake_platform.hpp"
#include "kernel/kernel.hpp"

#include <functional>

namespace cornelloom::test {

using namespace std::chrono_literals;

enum class trouble { none, outage, throttled, answers_lost };

/// The platform in a given condition, and the clock that the machines under test share.
struct platform_rig {
    fake_platform platform;
    trouble condition = trouble::none;
    kernel::runtime_clock clock{kernel::runtime_clock::mode::paused};
    std::size_t writes = 0;
    std::size_t written_bytes = 0;
    std::size_t reads = 0;

    platform_outcome answer(const platform_operation& what) {
        if (condition == trouble::outage) {
            return call_outage{};
        }
        if (condition == trouble::throttled) {
            return call_throttled{2s};
        }
        const auto* put = std::get_if<put_object>(&what);
        const bool write = put != nullptr || std::holds_alternative<delete_object>(what);
        ++(write ? writes : reads);
        written_bytes += put != nullptr ? put->value.size() : 0;
        const auto outcome = platform.apply(what);
        return write && condition == trouble::answers_lost ? platform_outcome{call_unknown{}}
                                                           : outcome;
    }

    /// Sends an event to a machine and answers its calls until it makes no more. Effects are
    /// handed to `collect` step by step.
    template <class State, class Event, class Collect, class... Wall>
    void drive(State& state, const Event& event, Collect collect, Wall... wall) {
        auto out = step(state, event, clock.now(), wall...);
        collect(out);
        auto calls = std::move(out.calls);
        while (!calls.empty()) {
            const auto call = std::move(calls.front());
            calls.erase(calls.begin());
            auto more = step(state, platform_answer{call.token, answer(call.operation)},
                             clock.now(), wall...);
            collect(more);
            std::ranges::move(more.calls, std::back_inserter(calls));
        }
    }
};

} // namespace cornelloom::test
