#pragma once

#include "client/client.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cornelloom::bench {

/// The daemons and what is asked of them, as a driver program is told on its command line.
struct load_plan {
    std::vector<transport::endpoint> daemons;
    std::string trainer_token;
    std::string caller_token;
    std::string pool = "notes";
    std::string trainer = "trainer-1";
    std::string lookup_service = "catalogue";
    std::string sync_service = "prices";
    int steps = 3;
    int groups = 8;
    int samples_each = 4;
    int max_tokens = 60;
    int train_ms = 300; ///< Time that the trainer computes between two steps.
    int lookups_per_second = 20;
    int syncs = 20;
    std::uint64_t staleness_bound = 2;
};

/// What callers saw. All counts of broken promises are zero in a system that keeps them.
struct observations {
    std::mutex mutex;
    std::uint64_t samples_expected = 0;
    std::uint64_t samples_delivered = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t stale = 0;
    std::uint64_t unknown_versions = 0;
    std::uint64_t wrong_texts = 0;
    std::uint64_t steps_failed = 0;
    std::vector<double> idle_ms;   ///< Of each step.
    std::vector<double> staleness; ///< Of each sample, in versions at delivery.
    std::vector<double> lookup_ms;
    std::uint64_t lookups_ok = 0;
    std::uint64_t lookups_failed = 0;
    std::uint64_t lookups_wrong = 0;
    std::uint64_t syncs_ok = 0;
    std::uint64_t syncs_failed = 0;
    std::uint64_t tokens_delivered = 0;
};

/// Opens the steps one after the other, pulls each whole, "trains", announces the next version.
void run_trainer(const load_plan& plan, observations& seen);

/// Looks up until told to stop: every second one a generation, the others a plain service's page.
void run_broker(const load_plan& plan, observations& seen, const std::atomic<bool>& stop);

/// Sends each sync under its own key, and sends it again through another daemon.
void run_syncs(const load_plan& plan, observations& seen);

/// The value below which that share of the values lies; 0 without values.
[[nodiscard]] double quantile(std::vector<double> values, double share);

} // namespace cornelloom::bench
