#include "front/early_start.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr milliseconds default_storage_timeout{6000};
/// Reserved to send the response before the caller's timeout.
constexpr milliseconds response_margin{250};

} // namespace

bool may_start_early(const early_start_conditions& conditions) {
    return !conditions.known && !conditions.owner_known && !conditions.stopping &&
           conditions.uptime >= min_uptime_for_early_start;
}

submission_answer choose_submission_answer(store_outcome stored, early_outcome early) {
    if (stored == store_outcome::none || stored == store_outcome::conflict) {
        return submission_answer::accept;
    }
    const bool not_run = stored == store_outcome::refused && early == early_outcome::nothing_sent;
    return not_run ? submission_answer::refuse : submission_answer::fail;
}

milliseconds storage_timeout(std::optional<milliseconds> caller_timeout) {
    if (!caller_timeout) {
        return default_storage_timeout;
    }
    return std::max(*caller_timeout - response_margin, milliseconds(0));
}

} // namespace cornelloom::front
