#pragma once

#include "front/host.hpp"

#include <memory>
#include <string>

namespace cornelloom::front {

/// Keeps the quarantined requests in the platform's store.
///
/// Hosts know them in memory and tell each other. When all hosts lose power at once, that is lost,
/// and the request would crash as many targets again. The host that identifies a request adds it to
/// one object, and each host that watches the store reads that object once after its start. The
/// others learn of it by the exchange of crashes.
///
/// The same object counts the trial runs of requests that have crashed several targets. It is
/// written under the condition of its revision, so each trial run is granted to one host only.

/// The quarantined requests of this host, as stored at `now`: the newest, as many as fit into an
/// object that the store accepts.
[[nodiscard]] std::string encode_quarantines(const host& self, kernel::wall_time now);

/// Merges stored quarantines, which have become older since; anything invalid is logged and
/// ignored.
void merge_quarantines(host& self, const nlohmann::json& stored, kernel::wall_time now);

/// Outcome of an attempt to make sure of a trial run.
enum class trial_claim {
    granted,           ///< No other host starts the same trial run.
    not_due,           ///< Another host was first, or the trial run is no longer needed.
    store_unavailable, ///< The store did not answer or rejects the object.
};

/// Whether the next trial run of a caller's request is due, on whichever host.
[[nodiscard]] bool is_trial_due(const host& self, std::uint64_t digest);

/// Tries to make sure of the next trial run of the request for this host.
loop::task<trial_claim> claim_trial(std::shared_ptr<host> self, std::uint64_t digest);

/// Records that this host starts a trial run of the request, and tells other hosts.
void start_trial(host& self, std::uint64_t digest);

/// Records that the trial run that this host has started reached no target, and tells other hosts.
void return_trial(host& self, std::uint64_t digest);

/// Reads and stores quarantines until the event loop ends.
void start_quarantine_store(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
