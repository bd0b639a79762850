#pragma once

/// Includes the whole front library: the daemon on a platform, its decision logic and its stored
/// records.

#include "front/adapter.hpp"
#include "front/batch.hpp"
#include "front/feed.hpp"
#include "front/host.hpp"
#include "front/load_plan.hpp"
#include "front/order_lease.hpp"
#include "front/placement.hpp"
#include "front/plain_call.hpp"
#include "front/process.hpp"
#include "front/records.hpp"
#include "front/routing.hpp"
#include "front/targets.hpp"
#include "front/types.hpp"
