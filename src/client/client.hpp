#pragma once

/// All of the client library: what trainers, callers and operators link to.

#include "client/backoff.hpp"
#include "client/caller_client.hpp"
#include "client/operator_client.hpp"
#include "client/options.hpp"
#include "client/trainer_client.hpp"
