#pragma once

/// All of the rollout library: steps, samples, delivery, recovery and weights of rollout pools.
/// Pure logic: no sockets, threads or clocks; time comes in with each call.

#include "rollout/codec.hpp"
#include "rollout/delivery.hpp"
#include "rollout/recovery.hpp"
#include "rollout/replica.hpp"
#include "rollout/resume.hpp"
#include "rollout/sample.hpp"
#include "rollout/scoring.hpp"
#include "rollout/shares.hpp"
#include "rollout/step.hpp"
#include "rollout/token_account.hpp"
#include "rollout/trainer.hpp"
#include "rollout/types.hpp"
#include "rollout/weights.hpp"
#include "rollout/work.hpp"
