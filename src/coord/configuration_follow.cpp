#include "coord/configuration_follow.hpp"

#include "coord/internal/follow_step.hpp"

namespace cornelloom::coord {

std::string_view to_string(configuration_alarm alarm) {
    switch (alarm) {
    case configuration_alarm::head_regressed:
        return "head_regressed";
    case configuration_alarm::head_missing:
        return "head_missing";
    case configuration_alarm::head_diverged:
        return "head_diverged";
    case configuration_alarm::body_damaged:
        return "body_damaged";
    case configuration_alarm::head_unreadable:
        break;
    }
    return "head_unreadable";
}

configuration_follow make_follow(const follow_settings& settings, kernel::time_point now) {
    configuration_follow state;
    state.settings = settings;
    state.started = now;
    state.next_fetch = now;
    state.next_poll = now;
    return state;
}

follow_effects step(configuration_follow& state, const follow_event& event,
                    kernel::time_point now) {
    return internal::follow_machine<internal::follow_rules>::step(state, event, now);
}

bool is_ready(const configuration_follow& state, kernel::time_point now) {
    const bool knows_platform = state.platform_checked;
    const bool peers_answered = state.peer_heard || !state.settings.peers_expected;
    const bool waited = now >= state.started + state.settings.boot_wait;
    const bool informed = state.peer_heard || (knows_platform && (peers_answered || waited));
    const bool newest = state.in_force.generation >= state.newest_heard.generation;
    const bool something = state.in_force.generation > 0 || knows_platform;
    return informed && newest && something;
}

configuration_hint own_hint(const configuration_follow& state) {
    return {state.in_force.generation, state.in_force.set_digest};
}

std::optional<std::string> serve(const configuration_follow& state, std::string_view digest) {
    if (digest.empty()) {
        return state.in_force.generation == 0 ? std::nullopt
                                              : std::optional(encode(state.in_force));
    }
    const auto found = state.parts.find(digest);
    return found == state.parts.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cornelloom::coord
