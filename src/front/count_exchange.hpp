#pragma once

#include "front/host.hpp"
#include "front/usage_report.hpp"
#include "loop/listener.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Collects the counts of all processes at the host that holds the lease.

/// URL path under which a host returns its counts of a window and accepts those of others.
inline constexpr std::string_view counts_path = "/counts";

/// Encodes this process's own counts of all windows that may still be reported.
[[nodiscard]] std::string encode_own_counts(host& self);

/// Merges encoded counts received from another process; an empty text is ignored.
void merge_counts(host& self, std::string_view text);

/// Handles a request of a peer that asks for the counts of a window or sends its own.
loop::task<void> serve_counts(std::shared_ptr<host> self, loop::served_request& request);

/// Requests the counts of a window from the feeders of each zone. False if a zone did not respond.
loop::task<bool> gather_counts(std::shared_ptr<host> self, window_number window);

/// Sends all counts to other hosts of the zone before this process ends; waits no longer than that
/// for them.
loop::task<void> send_all_counts(std::shared_ptr<host> self, loop::deadline until);

/// Records the number of items in progress on this host, by model.
void record_demand(host& self,
                   const std::map<std::string, std::uint64_t, std::less<>>& in_progress);

/// The peak number of items of the model in progress at the same time within the last few windows,
/// summed over all hosts whose counts this host has received.
[[nodiscard]] std::uint64_t peak_demand(host& self, std::string_view model);

/// Starts to gather the counts of the current window periodically while this process holds the
/// lease.
void start_gathering(const std::shared_ptr<host>& self);

/// Drops the windows that can no longer be reported.
void drop_old_counts(host& self);

} // namespace cornelloom::front
