#pragma once

#include "front/batch_desk.hpp"

#include <memory>

namespace cornelloom::front {

/// Taking batches in: they are stored, then accepted, then run by a host of the zone.

/// A submission on a route for batches.
loop::task<void> submit_batch(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              caller_request facts);

/// The host that should run a batch which is submitted here: the one of the zone with the most
/// processor time, this one if that is unknown.
///
/// Load it is made for: steps of some hundred streams, submitted to any of ten small hosts of a
/// zone. On a tenth of a core their events are read late; and a host that runs one step a minute
/// opens a connection for each item, where one that runs all of its zone's keeps them between
/// steps.
[[nodiscard]] host_entry choose_runner(host& self);

/// A peer has accepted a batch and stored it with this host as its owner.
bool run_accepted(const std::shared_ptr<batch_desk>& desk, const transport::http_request& message);

/// The call of a peer that gives an accepted batch to its owner.
inline constexpr std::string_view run_path = "/batches/run";
/// The header of a call on it that holds the batch's record; the body is the submission.
inline constexpr std::string_view record_header = "Cornelloom-Batch";

} // namespace cornelloom::front
