#include "front/submission_answer.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr milliseconds default_storage_timeout{6000};
/// Reserved to send the response before the caller's timeout.
constexpr milliseconds response_margin{250};

} // namespace

store_outcome combine_outcomes(bool parts_stored, store_outcome header) {
    const bool accepted = header == store_outcome::none || header == store_outcome::conflict;
    return accepted && !parts_stored ? store_outcome::unknown : header;
}

submission_answer choose_submission_answer(store_outcome stored) {
    switch (stored) {
    case store_outcome::none:
    case store_outcome::conflict:
        return submission_answer::accept;
    case store_outcome::refused:
        return submission_answer::refuse;
    default:
        return submission_answer::fail;
    }
}

milliseconds storage_timeout(std::optional<milliseconds> caller_timeout) {
    if (!caller_timeout) {
        return default_storage_timeout;
    }
    return std::max(*caller_timeout - response_margin, milliseconds(0));
}

} // namespace cornelloom::front
