#pragma once

/// All of the decide library: pure decisions under load and faults. Embedders use the scheduler;
/// the single decisions can be used and tested alone.

#include "decide/policy.hpp"
#include "decide/scheduler.hpp"
#include "decide/types.hpp"
