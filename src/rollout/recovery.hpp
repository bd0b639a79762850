#pragma once

#include "rollout/replica.hpp"

#include <span>

namespace cornelloom::rollout {

/// What the platform keeps of a step: enough to open it again, no sample. Far below 1 MB, because
/// the prompts stand in chunks of their own.
struct manifest {
    step_key key;
    kernel::pool_id pool;
    std::string digest; ///< Of the request; the manifest's identity.
    owner_epoch epoch = 0;
    std::vector<std::uint32_t> samples; ///< Of each group.
    std::vector<std::string> chunks;    ///< Digests of the prompt chunks, in order.
    sampling_parameters sampling;
    kernel::wall_time deadline;
    std::optional<weight_version> staleness_bound;
    weight_version trainer_version = 0;
    std::vector<kernel::host_id> replica_hosts; ///< Hosts that the owner sends copies to.
};

/// Prompts of consecutive groups, stored in the platform under the digest of its encoded form.
struct prompt_chunk {
    std::vector<std::string> prompts;
};

/// Size that a chunk's prompts may have before encoding; leaves room for escapes below the
/// platform's 1 MB. A step of 512 prompts of 4 KB takes five writes instead of 512.
inline constexpr std::size_t max_chunk_bytes = 480U << 10U;

[[nodiscard]] std::vector<prompt_chunk> chunks_of(const step_request& request);
[[nodiscard]] manifest manifest_of(const step& open, std::span<const std::string> chunk_digests,
                                   std::span<const kernel::host_id> replica_hosts);

/// How long a new owner waits for hosts to say what they hold. The trainer is idle meanwhile, and a
/// host that answers later is still heard, so only paid work is at stake: longer than a round trip
/// over the slow links with a retransmission, far shorter than making a sample.
inline constexpr kernel::duration collect_wait = std::chrono::seconds{2};

/// A step at its next owner, in state `collecting`. `invalid_input` when chunks and manifest do not
/// belong together, `conflict` when the epoch does not grow.
[[nodiscard]] kernel::result<step> recover_step(const manifest& stored,
                                                std::span<const prompt_chunk> chunks,
                                                const pool_rules& rules, owner_epoch epoch,
                                                std::span<const kernel::host_id> hosts_to_ask,
                                                kernel::time_point now, kernel::wall_time wall_now);

/// A host said what it holds. Heard also after the collection has ended. When the answer names a
/// next slot, the host is asked again from there.
void on_collected(step& open, const kernel::host_id& host, const collect_answer& answer,
                  kernel::time_point now);

/// A host cannot be reached.
void on_collect_failed(step& open, const kernel::host_id& host);

/// Ends the collection: what nobody holds is made again.
void finish_collecting(step& open);

} // namespace cornelloom::rollout
