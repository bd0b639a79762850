#pragma once

/// The transitions of a shard of claims, whole.

#include "coord/internal/claims_commits.hpp"
#include "coord/internal/claims_machine.hpp"
#include "coord/internal/claims_requests.hpp"
