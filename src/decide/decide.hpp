#pragma once

/// Umbrella header of the decide library: scheduling decisions under load and faults, without I/O.
/// Embedders use the scheduler; the individual decisions can be used and tested separately.

#include "decide/admission.hpp"
#include "decide/connection_choice.hpp"
#include "decide/fair_queue.hpp"
#include "decide/health.hpp"
#include "decide/hedge.hpp"
#include "decide/item_order.hpp"
#include "decide/limit.hpp"
#include "decide/memory_room.hpp"
#include "decide/move_budget.hpp"
#include "decide/pace_model.hpp"
#include "decide/placement.hpp"
#include "decide/policy.hpp"
#include "decide/quarantine.hpp"
#include "decide/retry.hpp"
#include "decide/scheduler.hpp"
#include "decide/slot_shares.hpp"
#include "decide/staleness.hpp"
#include "decide/subset.hpp"
#include "decide/target_load.hpp"
#include "decide/types.hpp"
#include "decide/wall_clock_guard.hpp"
