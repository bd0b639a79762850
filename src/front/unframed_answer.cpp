#include "front/unframed_answer.hpp"

#include "kernel/json_text.hpp"

namespace cornelloom::front {

namespace {

/// The first status of refusals and errors.
constexpr int least_error_status = 400;

bool is_unframed(const loop::call_outcome& outcome) {
    return outcome.fault == loop::exchange_fault::broken && outcome.answer.ends_with_connection;
}

} // namespace

loop::call_outcome take_if_whole(loop::call_outcome outcome) {
    if (!is_unframed(outcome)) {
        return outcome;
    }
    if (kernel::split_object(outcome.answer.body)) {
        outcome.fault = loop::exchange_fault::none;
        outcome.answer.ends_with_connection = false;
    } else if (outcome.answer.status >= least_error_status) {
        outcome = take_status(std::move(outcome));
    }
    return outcome;
}

loop::call_outcome take_status(loop::call_outcome outcome) {
    if (is_unframed(outcome)) {
        outcome.fault = loop::exchange_fault::none;
        outcome.answer.ends_with_connection = false;
        outcome.answer.body.clear();
    }
    return outcome;
}

} // namespace cornelloom::front
