#include "front/log_knowledge.hpp"

namespace cornelloom::front {

namespace {

/// The log is read this often within the period in which an owner must learn of the batch's end, so
/// that the batch goes on while a read is in progress.
constexpr int reads_per_cancel_period = 2;
/// Above this the store counts as unavailable; a slow store answers within 250 ms.
constexpr milliseconds max_store_latency{700};
/// Time for an item to reach its target: a new connection and a round trip.
constexpr milliseconds target_latency{500};

} // namespace

bool is_log_due(const log_knowledge& log, time_point now, milliseconds cancel) {
    return now - log.confirmed >= cancel / reads_per_cancel_period;
}

bool may_send_items(const log_knowledge& log, time_point now, milliseconds cancel) {
    const bool unanswered =
        log.requested_at != time_point{} && now - log.requested_at > max_store_latency;
    const bool was_read = log.confirmed != time_point{};
    return (was_read && (log.unavailable || unanswered)) ||
           now - log.confirmed < cancel - target_latency;
}

} // namespace cornelloom::front
