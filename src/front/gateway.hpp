#pragma once

#include "front/batch_desk.hpp"
#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>

namespace cornelloom::front {

/// Serves one request of a caller: a batch, a call on one, or a request for a target.
loop::task<void> serve_caller(std::shared_ptr<batch_desk> desk, loop::served_request& request);

/// Serves one request of a peer.
loop::task<void> serve_peer(std::shared_ptr<batch_desk> desk, loop::served_request& request);

} // namespace cornelloom::front
