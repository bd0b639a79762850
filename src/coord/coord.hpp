#pragma once

/// All of the coordination library: pure state machines (messages and time in; messages and effects
/// out). No sockets, threads or clocks; usable alone with a transport of one's own.

#include "coord/claims.hpp"
#include "coord/configuration.hpp"
#include "coord/configuration_apply.hpp"
#include "coord/configuration_follow.hpp"
#include "coord/lease.hpp"
#include "coord/membership.hpp"
#include "coord/platform.hpp"
#include "coord/platform_trouble.hpp"
