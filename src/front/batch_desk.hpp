#pragma once

#include "front/live_batch.hpp"
#include "loop/listener.hpp"

#include <map>
#include <memory>
#include <string>

namespace cornelloom::front {

/// The batches that this host knows, and the calls that callers and peers make on them.
///
/// Any host answers for any batch. The owner answers from memory; another host asks the owner, and
/// when the owner does not answer, takes the batch over: the reads of the caller who waits for it
/// are the sign of life that a batch needs, so hosts need no heartbeats for it.
struct batch_desk {
    explicit batch_desk(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::map<std::string, live_batch_ptr, std::less<>> known{};
    /// Owners of batches that this host has not loaded.
    std::map<std::string, transport::endpoint, std::less<>> owners{};
    std::map<std::string, std::shared_ptr<loop::gate>, std::less<>> loading{};
};

/// A submission on a route for batches.
loop::task<void> submit_batch(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              caller_request facts);

/// A call on a batch, by a caller or (`by_peer`) passed on by another host.
loop::task<void> serve_batch_call(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                                  batch_call call, bool by_peer);

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

/// A peer hands a batch over, or announces that it owns one.
loop::task<void> adopt_batch(std::shared_ptr<batch_desk> desk, std::string id);
void note_owner(batch_desk& desk, std::string id, transport::endpoint owner);

/// Hands all batches to peers before this process ends.
void hand_over_all(const std::shared_ptr<batch_desk>& desk);

/// Forgets batches that nobody has asked for in a while; they can be loaded again.
void forget_unused(batch_desk& desk);

/// Paths of the calls between hosts.
inline constexpr std::string_view run_path = "/batches/run";
/// The header of a call on it that holds the batch's record; the body is the submission.
inline constexpr std::string_view record_header = "Cornelloom-Batch";
inline constexpr std::string_view adopt_path = "/batches/adopt";
inline constexpr std::string_view owner_path = "/batches/owner";
inline constexpr std::string_view passed_path = "/batches/passed";

} // namespace cornelloom::front
