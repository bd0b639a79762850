#pragma once

#include "front/batch_desk.hpp"
#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>

namespace cornelloom::front {

/// Handles one request of a caller: a batch submission, a call on an existing batch, or a request
/// that is forwarded to a target.
loop::task<void> serve_caller(std::shared_ptr<batch_registry> registry,
                              loop::served_request& request);

/// Handles one request of another host.
loop::task<void> serve_peer(std::shared_ptr<batch_registry> registry,
                            loop::served_request& request);

} // namespace cornelloom::front
