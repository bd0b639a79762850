#pragma once

#include "front/host.hpp"
#include "front/usage_report.hpp"
#include "loop/listener.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// How what each process has counted gets to the host that leads.

/// The path under which a host tells what it knows of a window, and is told what others know.
inline constexpr std::string_view counts_path = "/counts";

/// What this process has counted, of windows that may still be reported.
[[nodiscard]] std::string encode_own_counts(const host& self);

/// Takes what another process tells; an empty text tells nothing.
void take_counts(host& self, std::string_view text);

/// Serves a peer that asks for a window, or tells all it has.
loop::task<void> serve_counts(std::shared_ptr<host> self, loop::served_request& request);

/// Asks the hosts that may have fed each zone for a window. False if a zone has not answered.
loop::task<bool> gather_counts(std::shared_ptr<host> self, window_number window);

/// This process ends: another host of its zone gets all that it knows.
loop::task<void> hand_counts_over(std::shared_ptr<host> self);

/// Counts the items that this host has in work, by model.
void note_demand(host& self, const std::map<std::string, std::uint64_t, std::less<>>& in_work);

/// Items of the model that were in work at once, at all hosts, within the last windows; as far as
/// this host has been told.
[[nodiscard]] std::uint64_t peak_demand(const host& self, std::string_view model);

/// Gathers the counts of the present window, again and again, while this process has the lease.
void start_gathering(const std::shared_ptr<host>& self);

/// Drops windows that nobody reports any more.
void forget_old_counts(host& self);

} // namespace cornelloom::front
