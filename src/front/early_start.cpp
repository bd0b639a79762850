#include "front/early_start.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr milliseconds default_storing_time{6000};
/// Left to tell the caller before it gives up.
constexpr milliseconds answer_time{250};

} // namespace

bool may_start_early(const early_facts& facts) {
    return !facts.known && !facts.owner_known && !facts.stopping &&
           facts.running_for >= early_start_age;
}

submission_answer judge_submission(store_fault stored, early_outcome early) {
    if (stored == store_fault::none || stored == store_fault::conflict) {
        return submission_answer::accept;
    }
    const bool not_run = stored == store_fault::refused && early == early_outcome::nothing_sent;
    return not_run ? submission_answer::refuse : submission_answer::fail;
}

milliseconds storing_time(std::optional<milliseconds> caller_waits) {
    if (!caller_waits) {
        return default_storing_time;
    }
    return std::max(*caller_waits - answer_time, milliseconds(0));
}

} // namespace cornelloom::front
