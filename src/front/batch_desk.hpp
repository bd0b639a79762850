#pragma once

#include "front/batch_log.hpp"
#include "front/live_batch.hpp"
#include "loop/listener.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cornelloom::front {

/// A batch to run, as it was submitted.
struct submitted_batch {
    batch_header header;
    batch_spec spec;
};

/// A submission that this host holds, to run the batch once it is stored.
struct prepared_batch {
    transport::http_request message; ///< As it came from the host that stores it.
    time_point received{};
    /// Decoded only after the message was answered, since the header of the batch waits for that.
    std::optional<submitted_batch> decoded{};
};

/// The batches that this host knows.
///
/// Any host serves calls on any batch. The owner answers from memory. Another host forwards the
/// call to the owner and takes the batch over if the owner does not answer. A lost owner is noticed
/// when the batch's caller next reads results, so hosts exchange no heartbeats for batches.
struct batch_registry {
    explicit batch_registry(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::map<std::string, live_batch_ptr, std::less<>> batches{};
    /// Owners of batches that this host has not loaded, by batch id.
    std::map<std::string, transport::endpoint, std::less<>> owners{};
    std::map<std::string, std::shared_ptr<loop::gate>, std::less<>> loading{};
    std::map<std::string, prepared_batch, std::less<>> prepared{}; ///< By batch id.
};

/// Serves a call on a batch, from a caller or (`by_peer`) forwarded by another host.
loop::task<void> serve_batch_call(std::shared_ptr<batch_registry> registry,
                                  loop::served_request& request, batch_call call, bool by_peer);

/// Serves a peer's call that hands a batch over to this host.
loop::task<void> adopt_batch(std::shared_ptr<batch_registry> registry, std::string id);
/// Remembers the owner that a peer has announced for a batch.
void record_owner(batch_registry& registry, std::string id, transport::endpoint owner);

/// Returns a known batch or loads it. Concurrent calls for the same batch share one load.
loop::task<loaded_batch> get_batch(std::shared_ptr<batch_registry> registry, std::string id);

/// Makes this host the owner and starts the batch, unless the batch is over or another host takes
/// it over first. `reason` is only logged.
loop::task<void> take_over(live_batch_ptr batch, std::string reason);

/// The request for a call on a peer about the batch with this id.
[[nodiscard]] transport::http_request make_peer_request(std::string_view path,
                                                        const std::string& id);

/// Evicts batches that this host doesn't own and that have not been used for a while. They can be
/// loaded again.
void evict_unused(batch_registry& registry);

/// How long an owner may take to answer beyond the wait that a read asks for: two round trips
/// between regions and a scheduling delay on a small host.
inline constexpr milliseconds owner_response_allowance{700};
inline constexpr loop::milliseconds owner_connect_timeout{300};

/// Counts the waiting and running items of the batches that this host owns, by model.
[[nodiscard]] std::map<std::string, std::uint64_t, std::less<>>
count_unfinished_items(const batch_registry& registry);

/// Paths of the calls between hosts.
inline constexpr std::string_view adopt_path = "/batches/adopt";
inline constexpr std::string_view owner_path = "/batches/owner";
inline constexpr std::string_view forward_path = "/batches/passed";
/// Carries the client account of a forwarded call to the owner of the batch.
inline constexpr std::string_view account_header = "Cornelloom-Account";

} // namespace cornelloom::front
