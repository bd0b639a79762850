#pragma once

/// At most once for requests that must not be repeated. A key is claimed durably in the platform
/// before the first byte of its request is sent, and is never sent again after that. Claims of a
/// shard are committed together, by one conditional update of the shard's head object: a holder
/// that lost the shard without knowing it meets another version and cannot claim any more,
/// whatever its clock says.

#include "coord/platform.hpp"
#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"
#include "kernel/refusal.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelloom::coord {

/// Names a request over all its re-sends. The caller sends the same issue time with each.
struct claim_key {
    kernel::caller_id caller;
    std::string key;
    auto operator<=>(const claim_key&) const = default;
};

/// The shard that decides over a key; the same on every host with the same number of shards.
[[nodiscard]] std::uint32_t shard_of(const claim_key& key, std::uint32_t shards);

/// The limits are made for a shard among 16 that see about 100 non-idempotent requests a second in
/// all: 22,500 records in an hour, of about 300 bytes each.
struct claims_settings {
    std::uint32_t shard = 0;
    /// Keys issued longer ago are refused as not run; their records are forgotten.
    kernel::duration retention = std::chrono::hours{1};
    /// How far the wall clocks of any two hosts may differ.
    kernel::duration clock_skew = std::chrono::seconds{30};
    /// The least time between two commits. Bounds the writes of a shard: 10 a second.
    kernel::duration commit_every = std::chrono::milliseconds{100};
    std::size_t record_limit = 200'000;      ///< More keys are refused.
    std::size_t outcome_limit = 4096;        ///< Bytes of an answer kept for re-sends.
    std::size_t outcomes_limit = 32U << 20U; ///< Bytes of all answers kept in memory.
    std::size_t head_limit = 4096;           ///< Bytes of entries before they are archived.
    std::size_t batch_limit = 256U << 10U;   ///< Bytes that one commit adds to the head.
    kernel::duration ask_again = std::chrono::seconds{1}; ///< Told to callers that are refused.
    backoff_settings retry{};
};

enum class claim_state : std::uint8_t {
    claimed,  ///< It may have been sent; no outcome is known.
    ran,      ///< A target answered whole.
    not_sent, ///< Claimed, but no byte of it left: may be claimed again.
};

/// The whole answer of the target, for re-sends.
struct claim_outcome {
    int status = 0;
    std::string body;
    bool operator==(const claim_outcome&) const = default;
};

/// One line of a shard's log. Later lines of a key replace earlier ones.
struct claim_entry {
    claim_key key;
    std::int64_t issued_ms = 0;
    claim_state state = claim_state::claimed;
    std::optional<claim_outcome> outcome; ///< Only `ran`, and only if small enough to keep.
    bool operator==(const claim_entry&) const = default;
};

/// Archives `first` up to but not including `end`, written by the holder with that fence.
struct archive_range {
    std::uint64_t fence = 0;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    bool operator==(const archive_range&) const = default;
};

/// The value of a shard's head object.
struct claims_head {
    std::uint64_t fence = 0;  ///< Of the holder that wrote it.
    std::uint64_t commit = 0; ///< Grows with each write.
    std::vector<archive_range> archives;
    std::vector<claim_entry> entries;
    bool operator==(const claims_head&) const = default;
};

[[nodiscard]] std::string encode(const claims_head& head);
[[nodiscard]] std::optional<claims_head> decode_claims_head(std::string_view text);
[[nodiscard]] std::string encode(const std::vector<claim_entry>& entries);
[[nodiscard]] std::optional<std::vector<claim_entry>> decode_entries(std::string_view text);

/// What the holder remembers of a key.
struct claim_record {
    std::int64_t issued_ms = 0;
    claim_state state = claim_state::claimed;
    bool running = false; ///< Granted by this process, and no outcome yet.
    std::optional<claim_outcome> outcome;
};

/// A request that waits for its claim.
struct waiting_claim {
    std::uint64_t request = 0;
    claim_key key;
    std::int64_t issued_ms = 0;
    kernel::time_point deadline{};
    bool refused = false; ///< Its deadline passed while its commit was under way.
};

enum class claims_phase { closed, reading_head, sealing, reading_archives, open };

/// The write under way. Its bytes stay the same over retries, so that it does not matter which of
/// them lands.
struct claims_commit {
    claims_head next;
    std::vector<waiting_claim> waiting;
    bool in_doubt = false;       ///< An answer was lost.
    bool adopts_archive = false; ///< `next` names the archive and leaves its entries out.
    kernel::time_point started{};
};

/// Entries on their way from the head to an archive. They leave the head only when the archive is
/// durable, so a crash between the two writes loses none.
struct archive_write {
    std::uint64_t number = 0;
    std::size_t covers = 0;           ///< How many of the head's first entries it stands for.
    std::vector<claim_entry> entries; ///< One for each key: the last.
    bool durable = false;
};

enum class claims_call {
    none,
    read_head,
    write_head,
    list_archives,
    read_archive,
    write_archive,
    delete_archive
};

/// One shard at its holder.
struct claims {
    claims_settings settings;
    claims_phase phase = claims_phase::closed;
    std::uint64_t fence = 0;
    claims_head head; ///< As last known to be in the platform.
    std::uint64_t version = 0;
    std::map<claim_key, claim_record> records;
    std::multimap<std::int64_t, claim_key> by_issue; ///< For forgetting the oldest first.
    std::size_t outcome_bytes = 0;
    std::deque<waiting_claim> queue;
    std::vector<claim_entry> unwritten; ///< Outcomes that the next commit records.
    std::optional<claims_commit> commit;
    std::optional<archive_write> archiving;
    std::uint64_t next_archive = 0;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::int64_t> archive_newest;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> unread_archives;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> droppable; ///< Out of the head: delete.
    bool listed = false; ///< The archives were asked for in one call.
    claims_call call = claims_call::none;
    std::uint64_t call_token = 0;
    kernel::time_point next_commit{};
    kernel::time_point next_try{};
    unsigned failures = 0;
    std::uint64_t next_token = 1;
    bool closing = false;
};

/// This host holds the shard's lease with that fence, and begins to read the shard.
struct claims_opened {
    std::uint64_t fence = 0;
};

/// The lease was lost, or the host shuts down. With `flush`, outcomes are committed first.
struct claims_closed {
    bool flush = false;
};

/// A request wants to run; `request` is the caller's handle for the answer.
struct claim_asked {
    std::uint64_t request = 0;
    claim_key key;
    kernel::wall_time issued;
    kernel::time_point deadline{};
};

/// The target answered whole.
struct claim_ran {
    claim_key key;
    claim_outcome outcome;
};

/// It is certain that no byte of the request left this host.
struct claim_unsent {
    claim_key key;
};

struct claims_tick {};

using claims_event = std::variant<claims_opened, claims_closed, claim_asked, claim_ran,
                                  claim_unsent, claims_tick, platform_answer>;

/// The claim is durable: the first byte may be sent now, once.
struct claim_grant {
    std::uint64_t request = 0;
    claim_key key;
};

/// The request does not run now: the recorded outcome, or why not.
struct claim_answer {
    std::uint64_t request = 0;
    std::variant<claim_outcome, kernel::refusal> answer;
};

struct claims_effects {
    std::vector<platform_call> calls;
    std::vector<claim_grant> grants;
    std::vector<claim_answer> answers;
    bool opened = false; ///< The shard is read and serves now.
    bool closed = false; ///< The shard is no longer served here.
    bool lost = false;   ///< With `closed`: another holder has taken it.
    kernel::time_point next{};
};

[[nodiscard]] claims make_claims(const claims_settings& settings);

[[nodiscard]] claims_effects step(claims& state, const claims_event& event, kernel::time_point now,
                                  kernel::wall_time wall);

/// An upper estimate of the records' memory, in bytes.
[[nodiscard]] std::size_t memory_estimate(const claims& state);

} // namespace cornelloom::coord
