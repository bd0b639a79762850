#pragma once

#include "front/batch_desk.hpp"
#include "front/early_start.hpp"

namespace cornelloom::front {

/// Starts batches on the hosts that run them. The host that receives a submission stores it and
/// forwards it to the runner at the same time, so that the runner can start the items meanwhile.

/// Chooses the host that runs a batch submitted here: the one with the most processor time in this
/// zone, or this host if none is known.
///
/// A step has hundreds of streams and may be submitted to any of ten small hosts in a zone. A host
/// with a tenth of a core would read their events late. A host that runs only one step a minute
/// would also open a new connection for each item, whereas a host that runs all steps of its zone
/// reuses them.
[[nodiscard]] host_entry choose_runner(host& self);

/// State of an early start, on the host that stores the batch.
struct early_start {
    explicit early_start(loop::io_context& io) : answered(io) {}

    enum class phase { requested, declined, running, unknown };
    phase current_phase = phase::requested;
    loop::gate answered; ///< Opened when the runner has answered or can't be reached.
};

using early_start_ptr = std::shared_ptr<early_start>;

/// Asks the batch's runner to start the items before the batch is stored.
[[nodiscard]] early_start_ptr request_early_start(const std::shared_ptr<batch_registry>& registry,
                                                  const batch_header& header,
                                                  const std::string& submission);

/// Tells the runner that the batch is stored, so that it continues, or starts if it has not yet.
/// `stored` is `none` if this submission stored the batch, and `conflict` if an earlier one did,
/// perhaps with another runner.
loop::task<void> confirm_start(std::shared_ptr<batch_registry> registry, batch_header header,
                               std::string submission, early_start_ptr early, store_outcome stored);

/// Tells the runner to stop because the batch could not be stored.
loop::task<early_outcome> withdraw_start(std::shared_ptr<batch_registry> registry,
                                         batch_header header, early_start_ptr early);

/// Path prefix of the calls to a batch's runner; the action follows.
inline constexpr std::string_view start_path = "/batches/start/";
/// Request header with the batch's encoded header; the body is the submission.
inline constexpr std::string_view record_header = "Cornelloom-Batch";

/// Serves a call to the runner and returns the status of its response.
loop::task<int> serve_start_call(std::shared_ptr<batch_registry> registry,
                                 transport::http_request message);

/// Stops and forgets all batches that are not stored yet, because this process ends.
void drop_unstored(batch_registry& registry);

} // namespace cornelloom::front
