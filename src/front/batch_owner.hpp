#pragma once

#include "front/batch_desk.hpp"

namespace cornelloom::front {

/// Forwards a caller's call on a batch to the host that owns the batch.
///
/// When the owner of a batch is lost, a caller waits 1.5 s and then asks another host, which knows
/// no more. Within that time the host has to give up on the owner and load the batch from the
/// store. Each owner is therefore asked once before the batch is loaded, and a slow owner does not
/// delay the loading. Only an owner that may still run the batch is asked again afterwards.

/// Maximum wait of a forwarded read, so that a dead owner is detected soon.
inline constexpr milliseconds max_forwarded_wait{600};

/// Status with which a host answers that it does not own the batch.
inline constexpr int status_not_owner = 409;

/// Forwarding attempts for one call of a caller.
struct forwarding_attempts {
    int owners_asked = 0;
};

/// Forwards the call to `owner` and answers it. False if the owner does not respond, or answers
/// that it no longer owns the batch; the call is not answered then.
loop::task<bool> forward_to_host(std::shared_ptr<batch_registry> registry,
                                 loop::served_request& request, const batch_call& call,
                                 transport::endpoint owner, forwarding_attempts& attempts);

/// Logs that an owner did not respond.
void report_unresponsive_owner(host& self, std::string_view batch, const transport::endpoint& owner,
                               const loop::call_outcome& outcome);

} // namespace cornelloom::front
