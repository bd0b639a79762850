#pragma once

/// The transitions of a shard of claims. What keeps them safe is a template parameter, so that the
/// model-checking test can show that the loss of either guard is caught.

#include "coord/claims.hpp"
#include "coord/internal/claims_table.hpp"
#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::coord::internal {

struct claims_rules {
    /// Guards against a holder that lost the shard, was paused, and commits when it wakes: its
    /// update meets another version and claims nothing.
    static std::optional<std::uint64_t> expected_version(std::uint64_t last_known) {
        return last_known;
    }

    /// Guards against a crash between sending and claiming: the next holder would find no claim
    /// and run the re-sent request again. Sent only after the claim is durable.
    static constexpr bool grant_before_commit = false;
};

template <class Rules> class claims_machine {
public:
    static claims_effects step(claims& state, const claims_event& event, kernel::time_point now,
                               kernel::wall_time wall) {
        claims_machine machine{state, now, wall};
        std::visit([&](const auto& what) { machine.on(what); }, event);
        machine.refuse_overdue();
        machine.act();
        machine.out_.next = machine.next_tick();
        return std::move(machine.out_);
    }

private:
    claims_machine(claims& state, kernel::time_point now, kernel::wall_time wall)
        : state_(state), now_(now), wall_(wall) {}

    // Requests: claims_requests.hpp
    void on(const claims_tick& /*event*/);
    void on(const claims_opened& event);
    void on(const claims_closed& event);
    void on(const claim_asked& asked);
    void on(const claim_ran& ran);
    void on(const claim_unsent& unsent);
    void on(const platform_answer& answer);
    void judge(const waiting_claim& asked);
    void answer_known(const waiting_claim& asked, const claim_record& record);
    [[nodiscard]] bool is_waiting(const claim_key& key) const;
    void refuse(std::uint64_t request, kernel::refusal_reason reason, kernel::run_state run,
                bool again = true);
    void refuse_all(std::deque<waiting_claim>& waiting);
    /// A claim that cannot be made in time is refused as soon as that is certain. None of its
    /// bytes were sent, even if its commit lands later.
    void refuse_overdue();

    // Platform: claims_commits.hpp
    void act();
    void act_open();
    [[nodiscard]] bool has_work() const;
    void begin_commit();
    void read_head();
    void write_head();
    void read_archive();
    void issue(claims_call call, call_kind kind, platform_operation what);
    void on_head_read(const platform_outcome& outcome);
    /// The answer to a write was lost: the head tells whether it landed. If it did not, the same
    /// bytes are written again with the same expected version; at most one of the two can land.
    void settle_doubt(claims_head found, std::uint64_t version);
    /// Takes the shard over by writing the head with this holder's fence. From then on every
    /// write of an earlier holder meets another version.
    void begin_seal(claims_head found, std::uint64_t version);
    void on_head_written(const platform_outcome& outcome);
    void committed(std::uint64_t version);
    void grant_all();
    void start_reading_archives();
    void on_archives_listed(const platform_outcome& outcome);
    void take_archive(const std::vector<claim_entry>& entries);
    void on_archive_read(const platform_outcome& outcome);
    void open_if_read();
    void on_archive_written(const platform_outcome& outcome);
    void on_archive_deleted(const platform_outcome& outcome);
    void failed(const platform_outcome& outcome);
    void write_later(const claim_key& key, const claim_record& record);
    void close(bool lost);
    [[nodiscard]] kernel::time_point next_tick() const;

    claims& state_;
    kernel::time_point now_;
    kernel::wall_time wall_;
    claims_effects out_;
};

} // namespace cornelloom::coord::internal
