#pragma once

#include "front/batch_desk.hpp"
#include "front/early_start.hpp"

namespace cornelloom::front {

/// Starting batches on the host that runs them. The host that takes a submission in stores it, and
/// tells the runner at once; the runner begins with the items meanwhile.

/// The host that should run a batch which is submitted here: the one of the zone with the most
/// processor time, this one if that is unknown.
///
/// Load it is made for: steps of some hundred streams, submitted to any of ten small hosts of a
/// zone. On a tenth of a core their events are read late; and a host that runs one step a minute
/// opens a connection for each item, where one that runs all of its zone's keeps them between
/// steps.
[[nodiscard]] host_entry choose_runner(host& self);

/// How an early start has gone, as the host that stores the batch knows it.
struct early_start {
    explicit early_start(loop::io_context& io) : answered(io) {}

    enum class state { asked, declined, begun, unknown };
    state now = state::asked;
    loop::gate answered; ///< Opened when it is not `asked` any more.
};

using early_start_ptr = std::shared_ptr<early_start>;

/// Asks the batch's runner to begin before the batch is stored.
[[nodiscard]] early_start_ptr ask_early_start(const std::shared_ptr<batch_desk>& desk,
                                              const batch_header& header,
                                              const std::string& submission);

/// The batch is stored: its runner goes on, or begins now. `stored` is `none` when this submission
/// stored it, `conflict` when an earlier one did, perhaps with another runner.
loop::task<void> confirm_start(std::shared_ptr<batch_desk> desk, batch_header header,
                               std::string submission, early_start_ptr early, store_fault stored);

/// The batch could not be stored: its runner stops.
loop::task<early_outcome> withdraw_start(std::shared_ptr<batch_desk> desk, batch_header header,
                                         early_start_ptr early);

/// Paths of the calls on a batch's runner.
inline constexpr std::string_view start_path = "/batches/start/";
/// The header of a call that holds the batch's record; the body is the submission.
inline constexpr std::string_view record_header = "Cornelloom-Batch";

/// Serves such a call; the status of the answer.
loop::task<int> serve_start_call(std::shared_ptr<batch_desk> desk, transport::http_request message);

/// Batches that are not stored yet end here: this process stops.
void drop_unstored(batch_desk& desk);

} // namespace cornelloom::front
