#pragma once

#include "rollout/sample.hpp"

namespace cornelloom::rollout {

/// What paid work and time are worth, in one unit of money.
struct resume_prices {
    double generated_token = 1;
    double prompt_token = 0.1; ///< Reading a token again, without generating it.
    double cross_region_byte = 1e-6;
    double second = 0; ///< Of the trainer waiting for this sample.
};

/// A KV cache that the last engine exported.
struct exported_kv {
    double bytes = 0;
    bool cross_region = false; ///< Between the exporting and the importing engine.
    weight_version version = 0;
};

/// A slot whose attempt ended early, and the engine that would go on with it.
struct resume_case {
    token_count prompt_tokens = 0;
    std::span<const version_span> so_far;
    std::optional<exported_kv> kv;
    weight_version engine_version = 0;
    weight_version newest = 0;
    weight_version bound = 0;
    weight_version versions_until_done = 0; ///< Expected to be announced before delivery.
    double generate_tokens_per_second = 50;
    double read_tokens_per_second = 5000;
    double link_bytes_per_second = 1e8;
};

enum class resume_choice {
    resume_text, ///< Send the text so far; the engine reads it again.
    import_kv,   ///< Move the KV cache; nothing is read again.
    restart,     ///< Begin with the prompt; what was made is wasted.
};

struct resume_decision {
    resume_choice choice = resume_choice::restart;
    double resume_cost = 0;
    double import_cost = 0;
    double restart_cost = 0;
};

/// The cheapest way that can still be delivered. Text that will be stale when the sample is done is
/// not worth carrying on: all of its tokens, and all that follow, would be discarded. A KV cache of
/// other weights than the engine's is not imported: the tokens after it would be made from a state
/// that no single version produced.
[[nodiscard]] resume_decision decide_resume(const resume_case& broken, const resume_prices& prices);

} // namespace cornelloom::rollout
