#pragma once

#include "front/batch_log.hpp"
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

/// A call on a batch, by a caller or (`by_peer`) passed on by another host.
loop::task<void> serve_batch_call(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                                  batch_call call, bool by_peer);

/// A peer hands a batch over, or announces that it owns one.
loop::task<void> adopt_batch(std::shared_ptr<batch_desk> desk, std::string id);
void note_owner(batch_desk& desk, std::string id, transport::endpoint owner);

/// Loads a batch once, however many calls ask for it.
loop::task<loaded_batch> get_batch(std::shared_ptr<batch_desk> desk, std::string id);

/// Makes this host the owner, unless the batch is over or another host was quicker. `reason` is for
/// the log.
loop::task<void> take_over(live_batch_ptr one, std::string reason);

/// A call of this host on a peer, about one batch.
[[nodiscard]] transport::http_request peer_call(std::string_view path, const std::string& id);

/// Forgets batches that nobody has asked for in a while; they can be loaded again.
void forget_unused(batch_desk& desk);

/// What an owner may take beyond the wait of a read: two round trips between regions and a slice of
/// processor time on a small host.
inline constexpr milliseconds owner_allowance{700};
inline constexpr loop::milliseconds owner_connect{300};

/// Items that this host has in work, waiting or running, by model.
[[nodiscard]] std::map<std::string, std::uint64_t, std::less<>>
items_in_work(const batch_desk& desk);

/// Paths of the calls between hosts.
inline constexpr std::string_view adopt_path = "/batches/adopt";
inline constexpr std::string_view owner_path = "/batches/owner";
inline constexpr std::string_view passed_path = "/batches/passed";
/// Tells the owner of a batch the client account of a call that is passed on.
inline constexpr std::string_view account_header = "Cornelloom-Account";

} // namespace cornelloom::front
