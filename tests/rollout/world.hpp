#pragma once

#include "rollout/rollout.hpp"

#include <deque>
#include <memory>
#include <random>

/// A small world around one step for tests: engines, hosts that may own the step, and its trainer.
/// Every message can be lost, late or doubled; every process can die. The text proves the truth: an
/// engine with version V writes the letter of V for each token, and a slot's answer has a known
/// length, so a sample shows by itself whether it is whole and which weights made it.
namespace cornelloom::rollout_test {

using namespace cornelloom::rollout;

inline constexpr std::size_t host_count = 4;
inline constexpr std::size_t engine_count = 3;
inline constexpr weight_version first_version = 1;
inline constexpr weight_version pool_bound = 2;

struct stream {
    std::size_t owner = 0; ///< Host whose step reads it.
    owner_epoch epoch = 0;
    attempt_ref ref;
    std::size_t engine = 0;
    token_count position = 0; ///< Tokens of the answer that exist, those before it included.
    token_count made = 0;
};

struct host {
    std::unique_ptr<step> owned; ///< The step, if this host believes to own it.
    replica_store replicas;
};

struct late_collection {
    std::size_t owner = 0;
    owner_epoch epoch = 0;
    std::size_t from = 0;
    collect_answer answer;
};

/// What a run met, so that a test can tell whether its search looked at the faults at all.
struct sightings {
    std::size_t committed = 0;
    std::size_t take_overs = 0;
    std::size_t collected = 0;      ///< Samples that a new owner got from other hosts.
    std::size_t mixed_versions = 0; ///< Committed samples with more than one span.
    std::size_t repeated = 0;       ///< Samples given again because they were not held.
    std::size_t other_owner = 0;    ///< Pulls that a deposed owner refused.
    std::size_t unacknowledged = 0; ///< Slots that a restarted trainer no longer had.
    std::array<token_count, waste_cause_count> wasted{};
};

struct world {
    explicit world(release_mode release, bool scored);

    kernel::time_point now{};
    weight_version newest = first_version; ///< As the trainer announced it.
    std::array<weight_version, engine_count> engines{};
    std::array<host, host_count> hosts;
    owner_epoch last_epoch = 1; ///< Of the lease.
    std::vector<stream> streams;
    pool_rules rules;
    manifest stored;
    std::vector<prompt_chunk> chunks;
    trainer_view trainer;
    trainer_view checkpoint;
    std::uint64_t pulls = 0;
    std::deque<pull_answer> late_answers;
    std::deque<late_collection> late_collections;
    token_count generated = 0; ///< Tokens that engines made and told an owner of.
    bool steady_owner = false; ///< The first host lives and keeps the step.
    std::vector<std::string> broken_promises;
    sightings seen;
};

[[nodiscard]] token_count answer_length(slot_index slot);

void submit(world& all, std::size_t host, std::size_t limit, std::uint32_t choice);
void generate(world& all, std::size_t stream, bool says_version);
void break_stream(world& all, std::size_t stream, break_cause cause);
void crash_engine(world& all, std::size_t engine);
void swap_engine(world& all, std::size_t engine, weight_version version);
void announce_version(world& all, std::uint32_t told_hosts);
void hedge(world& all, std::size_t host, slot_index slot, std::uint32_t choice);

enum class fate { arrives, lost, late, doubled };
void pull_from(world& all, std::size_t host, fate answer);
void deliver_late_answer(world& all);
void restart_trainer(world& all);

void kill_host(world& all, std::size_t host);

/// Takes the lease over; `silent` is a bit set of hosts that cannot be asked now.
void take_over(world& all, std::size_t host, std::uint32_t silent);
void deliver_late_collection(world& all);

/// Does what the owners ask for; the bits of `trouble` decide which messages are lost.
void run_effects(world& all, std::uint32_t trouble);
void pass_time(world& all, kernel::duration span);

/// One random thing happens.
void stir(world& all, std::uint32_t action);

/// No more faults: runs until the trainer has everything; false when it never gets there.
[[nodiscard]] bool run_to_completion(world& all);

/// The state of all owners, to read beside a broken promise.
[[nodiscard]] std::string describe(const world& all);

/// Adds the waste of a host's step to `seen`.
void note_waste(world& all, std::size_t host);

/// Balance of every owner's account; faults are added to `broken_promises`.
void check_accounts(world& all);

} // namespace cornelloom::rollout_test
