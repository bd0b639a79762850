#pragma once

#include "client/caller_client.hpp"

#include <functional>
#include <map>
#include <optional>

namespace cornelloom::client {

/// Groups are numbered from 0 in the order in which they are given.
struct prompt_group {
    std::string prompt;
    std::uint32_t samples = 1;
};

struct sampling_options {
    std::uint32_t max_tokens = 256;
    double temperature = 1;
    std::uint64_t seed = 0;
};

/// Opening the same step again is idempotent.
struct step_request {
    kernel::pool_id pool;
    kernel::trainer_id trainer;
    std::string step; ///< Unique for the trainer in this pool.
    std::uint64_t version = 0;
    std::uint32_t staleness_bound = 0;
    kernel::duration deadline = std::chrono::minutes{19};
    /// When it was first opened; 0: now. Give it when the step is opened again after a restart of
    /// the trainer, or the daemons see another deadline and so another step.
    kernel::wall_time opened;
    std::vector<prompt_group> groups;
    sampling_options sampling;
};

struct sample {
    std::uint64_t slot = 0;
    std::uint64_t group = 0;
    std::string text;
    std::vector<version_span> spans; ///< Versions that truly produced it; never empty.
    std::optional<double> score;
};

/// What a trainer must keep of a step over its own restart, to be given nothing twice.
struct step_progress {
    std::uint64_t epoch = 0;            ///< Largest seen.
    std::map<std::uint64_t, bool> held; ///< By slot: true delivered, false given up by the daemon.
};

/// What was not taken, and why. All zero in a system that keeps its promises.
struct rejected_samples {
    std::uint64_t older_epoch = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t stale = 0;
    std::uint64_t without_versions = 0;
};

struct step_result {
    std::uint64_t delivered = 0;
    std::uint64_t failed = 0; ///< Slots that the daemons gave up.
    rejected_samples rejected;
};

/// Takes one sample; what it has taken is stated as held in the next pull.
using sample_sink = std::function<void(const sample&)>;

/// For trainers. One thread a step; several steps may be pulled at the same time.
///
/// The trainer is where a sample is committed: each pull states the slots held, so that an answer
/// that was lost is given again and never twice. Answers of an older epoch come from a daemon that
/// no longer owns the step, and are not taken.
class trainer_client {
public:
    explicit trainer_client(client_options options);
    ~trainer_client();
    trainer_client(const trainer_client&) = delete;
    trainer_client& operator=(const trainer_client&) = delete;

    [[nodiscard]] answered<void> open(const step_request& step);

    /// Pulls until the step is complete or its deadline has passed.
    [[nodiscard]] answered<step_result> pull(const step_request& step, step_progress& progress,
                                             const sample_sink& sink);

    /// Says that the trainer now has this version; samples older than the bound behind it are no
    /// longer taken.
    [[nodiscard]] answered<void> announce(const kernel::pool_id& pool, std::uint64_t version);

    [[nodiscard]] answered<void> close(const step_request& step);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cornelloom::client
