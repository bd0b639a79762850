#pragma once

#include "bench/internal/policy_settings.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelloom::policy_bench {

/// What callers and trainers got, and what it cost.
struct world_outcome {
    std::vector<double> idle_ms;   ///< For each step: time that its trainer stood still for it.
    std::vector<double> staleness; ///< For each sample used: versions behind.
    std::vector<double> lookup_ms; ///< For each answered lookup.
    std::vector<double> sync_ms;
    std::map<std::string, std::size_t> submitted; ///< By class.
    std::map<std::string, std::size_t> answered;
    std::map<std::string, std::size_t> refused; ///< By reason.
    std::map<std::string, std::size_t> retried; ///< Attempts after the first, by cause.
    double generated_tokens = 0;
    double used_tokens = 0;
    double read_tokens = 0;
    double cross_region_bytes = 0;
    double busiest_caller_p99_ms = 0;
    double quiet_caller_p99_ms = 0;
    std::size_t unanswered = 0;              ///< Neither answered nor refused by their deadline.
    std::size_t false_not_run = 0;           ///< Refused as "not run", but a target had got it.
    std::size_t repeated_non_idempotent = 0; ///< Got by targets more than once.
    std::size_t too_stale_used = 0;
    std::size_t crashes = 0;
    std::size_t innocents_quarantined = 0;
    std::size_t sent_to_leaving = 0; ///< Two seconds or more after the first knowledge.
};

/// Policies: round_robin, least_loaded, no_hedging, no_affinity, cornelloom.
[[nodiscard]] const std::vector<std::string>& policy_names();

/// Runs the world to its end under one policy; the same settings give the same outcome.
[[nodiscard]] world_outcome run_world(const world_settings& settings, std::string_view policy);

/// The value below which `share` of the values lie; 0 for none.
[[nodiscard]] double quantile(std::vector<double> values, double share);

/// Named figures of an outcome, as scenario files bound them and as the benchmark prints them.
[[nodiscard]] std::map<std::string, double> measures(const world_outcome& outcome);

} // namespace cornelloom::policy_bench
