#pragma once

/// One shard of claims against a platform with a latency, in simulated time.

#include "coord/claims.hpp"

namespace cornelloom::coord_bench {

struct claims_load {
    double claims_per_second = 100;
    kernel::duration commit_every = std::chrono::milliseconds{100};
    std::size_t head_limit = 8192;
    std::size_t outcome_bytes = 200;
    kernel::duration span = std::chrono::seconds{60};
};

struct claims_report {
    std::uint64_t claims = 0;
    std::uint64_t refused = 0;
    std::uint64_t writes = 0;
    std::uint64_t written_bytes = 0;
    std::uint64_t largest_value = 0;
    std::vector<double> added_ms; ///< From asking to the grant, for each claim.
    double ns_per_claim = 0;      ///< Of machine time, all steps together.
    std::size_t memory = 0;
    std::uint64_t takeover_reads = 0; ///< Calls that a new holder makes before it serves.
};

[[nodiscard]] claims_report run_claims(const claims_load& load);

} // namespace cornelloom::coord_bench
