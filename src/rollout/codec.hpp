#pragma once

#include "rollout/delivery.hpp"
#include "rollout/recovery.hpp"

#include <string>
#include <string_view>

namespace cornelloom::rollout {

// Messages of trainers and objects of the platform are JSON text; messages between hosts are
// MessagePack, which carries any bytes. Decoding reports every fault of a message together, with
// its path, as `invalid_input`.

/// Body of `POST /v1/pools/POOL/steps`:
/// `{"trainer","step","groups":[{"prompt","samples"}],"sampling":{"max_tokens","temperature",
/// "top_p","seed"},"deadline_unix_ms","staleness_bound","version"}`. The deadline is absolute, so
/// that a repeated opening has the same digest.
[[nodiscard]] std::string encode(const step_request& request);
[[nodiscard]] kernel::result<step_request> decode_step_request(const kernel::pool_id& pool,
                                                               std::string_view json);

/// Body of `POST /v1/pools/POOL/steps/STEP/pull`:
/// `{"trainer","held":[slot or {"slot","sample"}],"epoch","order","version","max_bytes"}`.
/// `wait_ms` is the daemon's.
[[nodiscard]] std::string encode(const pull_request& request);
[[nodiscard]] kernel::result<pull_request> decode_pull_request(const step_id& step,
                                                               std::string_view json);

/// `{"epoch","order","staleness_bound","samples":[{"slot","group","sample","text",
/// "spans":[{"tokens","version"}],"score"}],"failed":[{"slot","reason"}],"complete","state"}`.
[[nodiscard]] std::string encode(const pull_answer& answer);
[[nodiscard]] kernel::result<pull_answer> decode_pull_answer(std::string_view json);

[[nodiscard]] std::string encode(const manifest& stored);
[[nodiscard]] kernel::result<manifest> decode_manifest(std::string_view json);

/// The digest of the encoded form names the chunk in the platform.
[[nodiscard]] std::string encode(const prompt_chunk& chunk);
[[nodiscard]] kernel::result<prompt_chunk> decode_prompt_chunk(std::string_view json);

[[nodiscard]] std::string encode(const hold_request& request);
[[nodiscard]] kernel::result<hold_request> decode_hold_request(std::string_view bytes);
[[nodiscard]] std::string encode(const hold_answer& answer);
[[nodiscard]] kernel::result<hold_answer> decode_hold_answer(std::string_view bytes);
[[nodiscard]] std::string encode(const release_request& request);
[[nodiscard]] kernel::result<release_request> decode_release_request(std::string_view bytes);
[[nodiscard]] std::string encode(const collect_request& request);
[[nodiscard]] kernel::result<collect_request> decode_collect_request(std::string_view bytes);
[[nodiscard]] std::string encode(const collect_answer& answer);
[[nodiscard]] kernel::result<collect_answer> decode_collect_answer(std::string_view bytes);

} // namespace cornelloom::rollout
