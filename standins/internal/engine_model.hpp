#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cornelloom::standins {

struct engine_settings {
    int slots = 16;                   ///< Sequences in one batch.
    double tokens_per_second = 200;   ///< Of one sequence in a batch that is not full.
    double prefill_per_second = 4000; ///< Prompt tokens, when the prefix is not cached.
    int cached_prefixes = 32;         ///< The prefix cache holds this many.
    std::int64_t load_ms = 300;       ///< Time that a load of new weights takes.
    std::int64_t report_lag_ms = 500; ///< Age of the load report.
    double straggler_share = 0;       ///< Share of sequences that run ten times slower.
    double slow_factor = 1;           ///< Divides the speed of the whole engine.
    bool checks_fence = true;         ///< Refuses orders with an older fencing number.
    double failed_load_share = 0;     ///< Share of loads that end with the old weights.
    std::int64_t first_version = 0;   ///< Weights loaded at the start.
    std::uint64_t seed = 1;           ///< For stragglers and failed loads.
};

struct generate_order {
    std::string request_id;
    std::string prompt;
    std::string so_far;
    int max_tokens = 64;
    int priority = 0; ///< Higher runs first.
    std::uint64_t seed = 0;
    std::string adapter; ///< Empty: the plain model.
};

struct piece {
    std::string text;
    int tokens = 0;
    std::int64_t version = 0;
    bool done = false;
};

/// The whole text that any engine gives for this prompt and seed, so that a caller can tell whether
/// it got its own answer whole.
[[nodiscard]] std::string expected_text(const std::string& prompt, std::uint64_t seed,
                                        int max_tokens);

struct load_report {
    std::int64_t at_ms = 0;
    std::int64_t version = 0;
    int running = 0;
    int queued = 0;
    bool loading = false;
};

struct cache_event {
    std::int64_t id = 0;
    bool added = false;
    std::string prefix;
};

/// One sequence's pieces, filled by the batch loop and read by a connection.
struct sequence;

/// A model engine that batches continuously: a loop moves the running sequences forward, takes
/// queued ones by priority, keeps a prefix cache, and swaps weights under running sequences.
class engine_model {
public:
    explicit engine_model(const engine_settings& settings);
    ~engine_model();
    engine_model(const engine_model&) = delete;
    engine_model& operator=(const engine_model&) = delete;

    [[nodiscard]] std::shared_ptr<sequence> start(const generate_order& order);

    /// False when no piece came within a short wait; `done` without text at the end.
    [[nodiscard]] bool next_piece(sequence& of, piece& into);

    /// Tokens generated so far, or -1 when no such sequence runs.
    std::int64_t cancel(const std::string& request_id);

    struct order_outcome {
        bool accepted = true;
        std::int64_t fence = 0;
    };

    order_outcome load_version(std::int64_t version, std::int64_t fence);

    [[nodiscard]] load_report report() const;
    [[nodiscard]] std::vector<cache_event> cache_events_after(std::int64_t id) const;

    [[nodiscard]] const engine_settings& settings() const { return settings_; }

    struct totals {
        std::int64_t tokens = 0;
        std::int64_t requests = 0;
        std::int64_t cancelled_tokens = 0;
    };

    [[nodiscard]] totals paid() const;

private:
    void loop();
    void admit_queued();
    void advance(sequence& one, double seconds);
    void finish_load();
    void remember_prefix(const std::string& prefix);
    void record_report();

    engine_settings settings_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<sequence>> running_;
    std::vector<std::shared_ptr<sequence>> queued_;
    std::list<std::string> prefixes_; ///< Most recently used first.
    std::deque<cache_event> events_;
    std::int64_t next_event_ = 1;
    std::deque<load_report> reports_;
    std::int64_t version_;
    std::int64_t loading_version_ = 0;
    std::int64_t load_done_ms_ = 0;
    std::int64_t highest_fence_ = 0;
    totals paid_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cornelloom::standins
