#pragma once

#include "front/batch_desk.hpp"
#include "front/slot_claims.hpp"
#include "loop/listener.hpp"

#include <memory>
#include <string_view>

namespace cornelloom::front {

/// Announces this host's claims on slots to the other hosts that run batches, and takes theirs.

/// Path of the call between hosts.
inline constexpr std::string_view claims_path = "/claims";

/// What this host announces now.
[[nodiscard]] slot_announcement own_announcement(const batch_registry& registry);

/// The hosts that get this host's announcements: the first two runners of each zone, and the hosts
/// that have claims.
[[nodiscard]] std::vector<transport::endpoint> announcement_recipients(const host& self);

/// Handles an announcement of another host.
loop::task<void> serve_claims(std::shared_ptr<host> self, loop::served_request& request);

/// Starts to announce while this host has unfinished items.
void start_slot_exchange(const std::shared_ptr<batch_registry>& registry);

} // namespace cornelloom::front
