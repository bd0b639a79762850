#pragma once

/// The records of a shard in memory, and what moves from its head to archives.

#include "coord/claims.hpp"

namespace cornelloom::coord::internal {

[[nodiscard]] object_key head_key(const claims& state);
[[nodiscard]] object_key archive_key(const claims& state, std::uint64_t fence,
                                     std::uint64_t number);

[[nodiscard]] bool is_expired(const claims_settings& settings, std::int64_t issued_ms,
                              kernel::wall_time wall);
[[nodiscard]] bool is_from_future(const claims_settings& settings, std::int64_t issued_ms,
                                  kernel::wall_time wall);
[[nodiscard]] bool is_full(const claims& state);

/// Takes a line of the log into the records.
claim_record& remember(claims& state, const claim_entry& entry);
/// Records the outcome, without its body if that is too large to keep.
void keep_outcome(claims& state, claim_record& record, const claim_outcome& outcome);
/// Forgets keys that every host refuses by their issue time alone.
void forget_expired(claims& state, kernel::wall_time wall);

/// The head of the next commit, before its own entries: without what an archive holds by now, and
/// without archives whose keys are all expired.
[[nodiscard]] claims_head successor(const claims& state, kernel::wall_time wall);

/// Bytes of the entry's text, about.
[[nodiscard]] std::size_t size_estimate(const claim_entry& entry);

/// Starts an archive when the head's entries have grown past their limit.
void plan_archive(claims& state);
void note_archive(claims& state, std::pair<std::uint64_t, std::uint64_t> name,
                  const std::vector<claim_entry>& entries);
/// Archives that the next head no longer names may be deleted once it is durable.
void note_dropped_archives(claims& state, const claims_head& next);

} // namespace cornelloom::coord::internal
