#pragma once

/// All of the kernel library: what every other library stands on. It takes no decisions.

#include "kernel/clock.hpp"
#include "kernel/event.hpp"
#include "kernel/failures.hpp"
#include "kernel/finding.hpp"
#include "kernel/hash.hpp"
#include "kernel/identifiers.hpp"
#include "kernel/json_text.hpp"
#include "kernel/metrics.hpp"
#include "kernel/number.hpp"
#include "kernel/process_end.hpp"
#include "kernel/progress_watch.hpp"
#include "kernel/refusal.hpp"
#include "kernel/registry.hpp"
#include "kernel/result.hpp"
#include "kernel/snapshot.hpp"
