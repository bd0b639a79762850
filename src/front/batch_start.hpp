#pragma once

#include "front/batch_desk.hpp"

namespace cornelloom::front {

/// Starts batches on the hosts that run them.
///
/// The host that receives a submission stores it and sends it to the runner at the same time, so
/// that the runner has parsed it when the batch exists. No item is sent before that: whether a
/// submission is new or was accepted and even ended before is known only to the store.

/// Chooses the host that runs a batch submitted here: the one with the most processor time in this
/// zone, or this host if none is known.
///
/// A step has hundreds of streams and may be submitted to any of ten small hosts in a zone. A host
/// with a tenth of a core would read their events late. A host that runs only one step a minute
/// would also open a new connection for each item, whereas a host that runs all steps of its zone
/// reuses them.
[[nodiscard]] host_entry choose_runner(host& self);

/// Whether the runner holds a submission, on the host that stores the batch.
struct preparation {
    explicit preparation(loop::io_context& io) : answered(io) {}

    enum class phase { requested, declined, prepared };
    phase current_phase = phase::requested;
    loop::gate answered; ///< Opened when the runner has answered or can't be reached.
};

using preparation_ptr = std::shared_ptr<preparation>;

/// Sends the submission to the batch's runner, which holds it until the batch is stored.
[[nodiscard]] preparation_ptr prepare_runner(const std::shared_ptr<batch_registry>& registry,
                                             const batch_header& header,
                                             const std::string& submission);

/// Outcome of storing a submission.
struct stored_submission {
    store_outcome outcome = store_outcome::refused;
    /// The runner had confirmed that it holds the submission before the header was written.
    bool prepared_before = false;
};

/// Tells the runner that the batch is stored, so that it starts. `stored.outcome` is `none` if this
/// submission stored the batch, and `conflict` if an earlier one did, perhaps with another runner.
loop::task<void> confirm_start(std::shared_ptr<batch_registry> registry, batch_header header,
                               std::string submission, preparation_ptr prepared,
                               stored_submission stored);

/// Tells the runner to forget the submission because the batch could not be stored.
loop::task<void> withdraw_submission(std::shared_ptr<batch_registry> registry, batch_header header,
                                     preparation_ptr prepared);

/// Path prefix of the calls to a batch's runner; the action follows.
inline constexpr std::string_view start_path = "/batches/start/";
/// Request header with the batch's encoded header; the body is the submission.
inline constexpr std::string_view record_header = "Cornelloom-Batch";

/// Serves a call to the runner and returns the status of its response.
loop::task<int> serve_start_call(std::shared_ptr<batch_registry> registry,
                                 transport::http_request message);

} // namespace cornelloom::front
