#pragma once

#include "front/batch_desk.hpp"

namespace cornelloom::front {

/// Passing a caller's call on a batch on to the host that owns the batch.
///
/// Load it is made for: a batch whose owner is lost, and a caller that waits 1.5 s and then asks
/// another host, which knows no more. Within that time the owner has to be given up and the batch
/// read from the store, so each owner is asked once before that, and a slow one does not delay the
/// reading. Only one that may go on with the batch is asked again.

/// A read that is passed on waits no longer than this, so that a dead owner shows soon.
inline constexpr milliseconds passed_wait{600};

/// The status by which a host says that it does not own the batch.
inline constexpr int status_other_owner = 409;

/// What has been tried for one call of a caller.
struct call_tries {
    int owners_asked = 0;
};

/// Passes the call on and answers it; false if the owner is silent, or is the owner no more.
loop::task<bool> try_owner(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                           const batch_call& call, transport::endpoint owner, call_tries& tries);

/// Writes a line about an owner that did not answer.
void note_silent_owner(host& self, std::string_view batch, const transport::endpoint& owner,
                       const loop::call_outcome& outcome);

} // namespace cornelloom::front
