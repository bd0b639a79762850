#include "kernel/memory_reserve.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>
#include <mutex>
#include <new>

namespace cornelloom::kernel {

namespace {

constexpr std::size_t reserve_blocks = 128;
/// No larger allocation can use the reserve up.
constexpr std::size_t block_bytes = 16384;
/// What is kept of a freed block, so that two of them never join into a larger one.
constexpr std::size_t kept_bytes = 64;
/// Blocks that make most of the reserve.
constexpr std::size_t enough_blocks = reserve_blocks / 2;

struct reserve_block {
    void* memory = nullptr;
    bool whole = false;
};

struct memory_reserve {
    std::mutex guard;
    std::array<reserve_block, reserve_blocks> blocks;
    bool kept = false;
};

memory_reserve& reserve() {
    static memory_reserve only;
    return only;
}

// Operator new would call the handler of failed allocations.
// NOLINTBEGIN(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)

void fill(reserve_block& block) {
    if (block.whole) {
        return;
    }
    // What was kept grows in place if what follows it is free again.
    if (void* memory = std::realloc(block.memory, block_bytes)) {
        block = {memory, true};
    }
}

bool release(reserve_block& block) {
    if (!block.whole) {
        return false;
    }
    block.whole = false;
    if (void* rest = std::realloc(block.memory, kept_bytes)) {
        block.memory = rest;
    }
    return true;
}

// NOLINTEND(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)

/// The handler of failed allocations: these are tried again when it returns.
void release_some() {
    auto& own = reserve();
    const std::lock_guard lock(own.guard);
    if (!std::ranges::any_of(own.blocks, release)) {
        throw std::bad_alloc();
    }
}

} // namespace

void keep_memory_reserve() {
    auto& own = reserve();
    own.kept = true;
    std::ranges::for_each(own.blocks, fill);
    std::set_new_handler(release_some);
}

bool fill_memory_reserve() noexcept {
    auto& own = reserve();
    const std::lock_guard lock(own.guard);
    if (!own.kept) {
        return true;
    }
    std::ranges::for_each(own.blocks, fill);
    return std::ranges::count(own.blocks, true, &reserve_block::whole) >=
           static_cast<std::ptrdiff_t>(enough_blocks);
}

bool has_memory_for(std::size_t bytes) noexcept {
    if (!fill_memory_reserve()) {
        return false;
    }
    // NOLINTBEGIN(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory): as above
    void* attempt = std::malloc(bytes);
    std::free(attempt);
    // NOLINTEND(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)
    return attempt != nullptr;
}

} // namespace cornelloom::kernel
