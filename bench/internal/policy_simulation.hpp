#pragma once

#include "bench/internal/policy_baseline.hpp"
#include "bench/internal/policy_target.hpp"
#include "bench/internal/policy_world.hpp"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <span>
#include <variant>

namespace cornelloom::policy_bench {

using kernel::time_point;

using host_policy = std::variant<decide::scheduler, baseline>;

[[nodiscard]] inline kernel::duration from_seconds(double length) {
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(length));
}

[[nodiscard]] inline double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

struct fake_host {
    decide::host self;
    host_policy policy;
};

struct fake_request {
    decide::request work;
    std::size_t host = 0;
    std::size_t trainer = 0;
    bool sample = false;
    bool busiest = false;
    bool poison = false;
    bool ended = false;
    double length = 0; ///< True tokens, or seconds of a call.
    time_point submitted{};
    std::size_t arrivals = 0;
    std::uint64_t oldest_kept = 0; ///< Among the tokens of failed attempts; 0: none.
};

struct whole_sample {
    fake_request request;
    std::uint64_t oldest = 0; ///< Version of its oldest token.
};

struct fake_trainer {
    std::size_t zone = 0;
    std::size_t step = 0;
    std::size_t missing = 0;
    std::vector<whole_sample> whole{}; ///< Of the next step.
    bool training = false;
    time_point free_since{};
};

struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const event& other) const {
        return at != other.at ? at > other.at : order > other.order;
    }
};

/// A discrete event world of hosts, targets, callers and trainers on a paused clock: each event
/// moves the time, nothing runs by itself.
class world {
public:
    world(const world_settings& settings, std::string_view policy);
    world_outcome run();

private:
    void at(time_point when, std::function<void()> run);

    void after(kernel::duration pause, std::function<void()> run) {
        at(now_ + pause, std::move(run));
    }

    void make_targets();
    void make_hosts(std::string_view policy);
    void plan_faults();
    void plan_fault(const fault& each);
    void crash(std::size_t target);
    void cut(const std::string& zone, bool on);
    [[nodiscard]] std::vector<std::size_t> targets_named(const std::string& name) const;

    void tick_host(std::size_t host);
    void pump(std::size_t host);
    void handle(std::size_t host, const decide::actions& todo);
    void dispatch(std::size_t host, const decide::dispatch& sent);
    [[nodiscard]] std::uint64_t inherited_version(const fake_request& request,
                                                  const decide::dispatch& sent) const;
    void arrive(std::size_t host, const decide::dispatch& sent);
    void refused(const kernel::request_id& id, const kernel::refusal& answer);
    void fail(const fake_stream& stream, std::size_t target, decide::failure_kind kind);
    void fail(std::size_t host, const kernel::request_id& id, std::uint32_t attempt,
              const decide::failure& what);
    void complete(const fake_stream& stream, std::size_t target);
    void delivered(fake_request& request, const fake_stream& stream);

    void change(std::size_t target, const std::function<void(fake_target&)>& what);
    void wake(std::size_t target);
    void publish_cached(std::size_t target, std::span<const std::uint64_t> prefixes);
    void crash_if_poisoned(std::size_t target);
    void report_all();
    void progress_all();

    void next_lookup();
    void next_sync();
    void submit(fake_request request);
    decide::admission decide_submit(decide::scheduler& to, const decide::request& work);
    decide::admission decide_submit(baseline& to, const decide::request& work);
    void submit_step(std::size_t trainer);
    void sample_whole(const fake_request& request, std::uint64_t oldest);
    [[nodiscard]] bool rerun_stale(std::size_t trainer);
    void consume(std::size_t trainer);
    void publish_version();
    void swap(std::size_t target, std::uint64_t version);

    [[nodiscard]] bool is_cut(std::size_t host, std::size_t target) const;
    [[nodiscard]] kernel::duration latency(std::size_t host, std::size_t target) const;
    [[nodiscard]] double length_of(std::uint64_t name) const;
    [[nodiscard]] std::size_t host_in(std::size_t zone);
    void finish();

    world_settings settings_;
    time_point now_{};
    time_point end_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    // One for each kind of event, so that every policy meets the same arrivals.
    std::mt19937_64 lookup_random_;
    std::mt19937_64 sync_random_;
    std::mt19937_64 cache_random_;
    std::vector<fake_target> targets_;
    std::vector<fake_host> hosts_;
    std::vector<fake_trainer> trainers_;
    std::map<kernel::request_id, fake_request> requests_;
    std::map<kernel::target_id, std::size_t> target_index_;
    std::set<std::string> cut_zones_;
    std::map<std::size_t, time_point> leaving_since_;
    std::uint64_t version_ = 1;
    std::size_t next_id_ = 0;
    std::size_t lookups_ = 0;
    std::size_t syncs_ = 0;
    std::size_t next_host_ = 0;
    bool silent_cache_ = false;
    bool checks_delivery_ = false; ///< The plain baselines know no staleness.
    double report_lag_ = 0;
    std::vector<double> busiest_ms_;
    std::vector<double> quiet_ms_;
    world_outcome outcome_;
};

} // namespace cornelloom::policy_bench
