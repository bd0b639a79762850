#include "daemon/step_storage.hpp"

#include "kernel/hash.hpp"
#include "rollout/codec.hpp"

#include <vector>

namespace cornelloom::daemon {

namespace {

constexpr const char* manifest_kind = "step-manifest";
constexpr const char* chunk_kind = "step-chunk";

std::string manifest_name(const rollout::step_key& key) {
    return kernel::digest_hex(rollout::to_string(key));
}

// Two steps may have the same prompts; each has chunks of its own, so that the end of one does not
// take them from the other.
std::string chunk_name(const rollout::step_key& key, const std::string& digest) {
    return manifest_name(key) + "." + digest;
}

struct encoded_chunk {
    std::string digest;
    std::string text;
};

std::vector<encoded_chunk> encode_chunks(const rollout::step& open) {
    std::vector<encoded_chunk> all;
    for (const auto& chunk : rollout::chunks_of(open.request)) {
        auto text = rollout::encode(chunk);
        auto digest = kernel::digest_hex(text);
        all.push_back({std::move(digest), std::move(text)});
    }
    return all;
}

std::vector<std::string> digests_of(std::span<const encoded_chunk> chunks) {
    std::vector<std::string> all;
    for (const auto& one : chunks) {
        all.push_back(one.digest);
    }
    return all;
}

void put(platform_runner& platform, const char* kind, const std::string& name,
         const std::string& text) {
    static_cast<void>(platform.call(coord::call_kind::step_state,
                                    coord::put_object{{kind, name}, text, std::nullopt}));
}

void erase(platform_runner& platform, const char* kind, const std::string& name) {
    static_cast<void>(platform.call(coord::call_kind::step_state,
                                    coord::delete_object{{kind, name}, std::nullopt}));
}

} // namespace

void step_storage::store(const rollout::step& open) const {
    const auto key = open.request.key;
    auto chunks = encode_chunks(open);
    const auto hosts = parts_.others.others();
    auto manifest = rollout::encode(rollout::manifest_of(open, digests_of(chunks), hosts));
    parts_.background.run([&platform = parts_.platform, key, chunks = std::move(chunks),
                           manifest = std::move(manifest)] {
        // The manifest last: whoever finds it finds its chunks.
        for (const auto& one : chunks) {
            put(platform, chunk_kind, chunk_name(key, one.digest), one.text);
        }
        put(platform, manifest_kind, manifest_name(key), manifest);
    });
}

void step_storage::remove(const rollout::step& ended) const {
    const auto key = ended.request.key;
    parts_.background.run(
        [&platform = parts_.platform, key, digests = digests_of(encode_chunks(ended))] {
            erase(platform, manifest_kind, manifest_name(key));
            for (const auto& digest : digests) {
                erase(platform, chunk_kind, chunk_name(key, digest));
            }
        });
}

std::optional<rollout::step> step_storage::load(const rollout::step_key& key,
                                                const rollout::pool_rules& rules,
                                                std::uint64_t fence,
                                                std::span<const kernel::host_id> to_ask) const {
    const auto text = read(manifest_kind, manifest_name(key));
    if (!text) {
        return std::nullopt;
    }
    const auto stored = rollout::decode_manifest(*text);
    if (!stored || stored.value().key != key) {
        return std::nullopt;
    }
    std::vector<rollout::prompt_chunk> chunks;
    for (const auto& digest : stored.value().chunks) {
        const auto body = read(chunk_kind, chunk_name(key, digest));
        if (!body) {
            return std::nullopt;
        }
        const auto chunk = rollout::decode_prompt_chunk(*body);
        if (!chunk) {
            return std::nullopt;
        }
        chunks.push_back(chunk.value());
    }
    auto& clock = parts_.shared.clock;
    auto step = rollout::recover_step(stored.value(), chunks, rules, fence, to_ask, clock.now(),
                                      clock.wall_now());
    return step ? std::optional(std::move(step.value())) : std::nullopt;
}

kernel::result<rollout::step> step_storage::reopen(const rollout::step& fresh,
                                                   std::span<const kernel::host_id> to_ask) const {
    auto stored = rollout::manifest_of(fresh, digests_of(encode_chunks(fresh)), to_ask);
    stored.epoch = fresh.epoch - 1;
    auto& clock = parts_.shared.clock;
    return rollout::recover_step(stored, rollout::chunks_of(fresh.request), fresh.rules,
                                 fresh.epoch, to_ask, clock.now(), clock.wall_now());
}

std::optional<std::string> step_storage::read(const char* kind, const std::string& name) const {
    const auto outcome =
        parts_.platform.call(coord::call_kind::step_state, coord::get_object{{kind, name}});
    const auto* found = std::get_if<coord::call_object>(&outcome);
    return found == nullptr ? std::nullopt : std::optional(found->object.value);
}

} // namespace cornelloom::daemon
