#include "front/log_knowledge.hpp"

namespace cornelloom::front {

namespace {

/// What a question to the store and its answer may take while the batch goes on, as a part of the
/// time within which an end must be known.
constexpr int reads_in_cancel = 2;
/// The store answers within a quarter of a second when it is slow.
constexpr milliseconds answer_most{700};
/// An item needs a new connection and a round trip to its target.
constexpr milliseconds way_to_target{500};

} // namespace

bool is_log_due(const log_knowledge& log, time_point now, milliseconds cancel) {
    return now - log.confirmed >= cancel / reads_in_cancel;
}

bool may_send_items(const log_knowledge& log, time_point now, milliseconds cancel) {
    const bool unanswered = log.asked != time_point{} && now - log.asked > answer_most;
    return log.unavailable || unanswered || now - log.confirmed < cancel - way_to_target;
}

} // namespace cornelloom::front
