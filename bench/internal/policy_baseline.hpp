#pragma once

#include "decide/decide.hpp"

#include <deque>
#include <map>
#include <unordered_map>

namespace cornelloom::policy_bench {

enum class baseline_kind { round_robin, least_loaded };

struct baseline_target {
    decide::target config;
    std::uint64_t version = 0;
    std::uint32_t reported = 0;
    bool leaving = false;
    bool loading = false;
};

struct baseline_request {
    decide::request work;
    std::size_t target = 0;
    std::uint32_t attempts = 0;
    bool in_flight = false;
    bool maybe_sent = false;
};

/// A plain balancer: it sends at once, to targets of its own zone while there are any, starts
/// over on failure up to three times, and neither hedges nor resumes. Round robin, or the least
/// loaded by the latest (lagging) reports.
struct baseline {
    decide::host self;
    baseline_kind kind = baseline_kind::round_robin;
    std::vector<baseline_target> targets{};
    std::unordered_map<kernel::request_id, baseline_request> requests{};
    std::deque<kernel::request_id> unsent{};
    std::size_t next = 0;
};

// The facade's calls, so that one fake world drives both.

void set_targets(baseline& all, std::span<const decide::target> targets,
                 std::span<const decide::host> hosts, kernel::time_point now);
[[nodiscard]] decide::admission submit(baseline& all, decide::request work, kernel::time_point now);
[[nodiscard]] decide::actions next_dispatches(baseline& all, kernel::time_point now);
[[nodiscard]] decide::actions tick(baseline& all, kernel::time_point now);
void on_progress(baseline& all, const kernel::request_id& request, std::uint32_t attempt,
                 std::uint32_t tokens, std::uint64_t oldest_version, kernel::time_point now);
[[nodiscard]] decide::completion_result
on_complete(baseline& all, const kernel::request_id& request, std::uint32_t attempt,
            const decide::completion& answer, kernel::time_point now);
[[nodiscard]] decide::actions on_failure(baseline& all, const kernel::request_id& request,
                                         std::uint32_t attempt, const decide::failure& what,
                                         kernel::time_point now);
void on_load_report(baseline& all, const decide::load_report& report, kernel::time_point now);
void on_cache_event(baseline& all, const decide::cache_event& event, kernel::time_point now);
void on_leaving(baseline& all, const kernel::target_id& target, kernel::time_point now);
void on_swap_planned(baseline& all, const decide::swap_plan& plan, kernel::time_point now);
void on_new_version(baseline& all, std::string_view pool, std::uint64_t version,
                    kernel::time_point now);
void on_quarantine(baseline& all, const decide::quarantine_notice& notice, kernel::time_point now);

} // namespace cornelloom::policy_bench
