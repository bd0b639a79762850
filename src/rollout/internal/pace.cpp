#include "rollout/internal/pace.hpp"

#include <algorithm>

namespace cornelloom::rollout::internal {

void note_announcement(step_pace& pace, kernel::time_point now) {
    if (pace.announced_at) {
        pace.between_versions = now - *pace.announced_at;
    }
    pace.announced_at = now;
}

void note_finished(step_pace& pace, token_count tokens, token_count made, kernel::duration took) {
    // An eighth of the newest value: a single straggler or a short answer moves the average little.
    constexpr double newest_part = 0.125;
    ++pace.finished;
    pace.finished_tokens += tokens;
    const auto seconds = std::chrono::duration<double>(took).count();
    if (seconds <= 0) {
        return;
    }
    const auto rate = static_cast<double>(made) / seconds;
    pace.tokens_per_second = pace.tokens_per_second == 0
                                 ? rate
                                 : pace.tokens_per_second * (1 - newest_part) + rate * newest_part;
}

weight_version versions_until_done(const step_pace& pace, token_count so_far,
                                   kernel::time_point now) {
    if (pace.between_versions <= kernel::duration::zero() || pace.finished == 0 ||
        pace.tokens_per_second <= 0) {
        return 0;
    }
    const auto usual = pace.finished_tokens / pace.finished;
    const auto left = static_cast<double>(usual - std::min(usual, so_far));
    const std::chrono::duration<double> since = now - *pace.announced_at;
    const std::chrono::duration<double> between = pace.between_versions;
    const auto until_done = since.count() + left / pace.tokens_per_second;
    return static_cast<weight_version>(until_done / between.count());
}

std::optional<waste_cause> reason_to_restart(const step& open, const slot& at,
                                             kernel::time_point now) {
    constexpr std::size_t bytes_per_token = 4;
    const auto ahead = versions_until_done(open.pace, tokens_of(at.carried.spans), now);
    if (is_stale(at.carried.spans, open.newest + ahead, open.bound)) {
        return waste_cause::stale;
    }
    resume_case broken;
    broken.prompt_tokens = open.request.groups[at.group].prompt.size() / bytes_per_token;
    broken.so_far = at.carried.spans;
    broken.engine_version = open.newest;
    broken.newest = open.newest;
    broken.bound = open.bound;
    if (open.pace.tokens_per_second > 0) {
        broken.generate_tokens_per_second = open.pace.tokens_per_second;
    }
    const auto choice = decide_resume(broken, open.rules.prices).choice;
    return choice == resume_choice::restart ? std::optional(waste_cause::lost) : std::nullopt;
}

} // namespace cornelloom::rollout::internal
