#pragma once

/// HTTP/1.1 on one event loop: exchanges with servers, and a listener for callers.

#include "loop/exchange.hpp"
#include "loop/gate.hpp"
#include "loop/gather.hpp"
#include "loop/listener.hpp"
#include "loop/spawn.hpp"
#include "loop/task.hpp"

// For programs that spawn tasks of their own.
#include <boost/asio/detached.hpp>
