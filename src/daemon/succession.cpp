#include "daemon/succession.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::daemon {

namespace {

struct rank {
    bool leaving = false;
    std::uint64_t hash = 0;
    auto operator<=>(const rank&) const = default;
};

rank rank_of(const coord::member& one, std::uint64_t seed) {
    return {one.leaving, kernel::hash64(one.info.id.str(), seed)};
}

} // namespace

bool is_successor(std::string_view purpose, std::span<const coord::member> live,
                  const kernel::host_id& self) {
    const auto seed = kernel::hash64(purpose);
    const auto own = std::ranges::find(live, self, [](const auto& one) { return one.info.id; });
    if (own == live.end()) {
        return false;
    }
    const auto mine = rank_of(*own, seed);
    const auto before = std::ranges::count_if(
        live, [&](const coord::member& one) { return rank_of(one, seed) < mine; });
    return static_cast<std::size_t>(before) < successors;
}

} // namespace cornelloom::daemon
