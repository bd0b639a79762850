#include "daemon/version_board.hpp"

#include "kernel/number.hpp"

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

constexpr const char* item_kind = "pool-version";
constexpr const char* object_kind = "pool-version";
// Longer than weights stay in use; a restarted host gets the item again from any other host.
constexpr kernel::duration item_lifetime = 24h;

// Conditional and only upward: two hosts may store announcements in the wrong order.
void store_version(platform_runner& platform, const kernel::pool_id& pool, std::uint64_t version) {
    constexpr int tries = 4;
    const coord::object_key key{object_kind, pool.str()};
    for (int i = 0; i < tries; ++i) {
        const auto outcome = platform.call(coord::call_kind::step_state, coord::get_object{key});
        std::uint64_t expected = 0;
        if (const auto* found = std::get_if<coord::call_object>(&outcome)) {
            if (kernel::parse_integer<std::uint64_t>(found->object.value).value_or(0) >= version) {
                return;
            }
            expected = found->object.version;
        } else if (!std::holds_alternative<coord::call_not_found>(outcome)) {
            continue;
        }
        const auto written =
            platform.call(coord::call_kind::step_state,
                          coord::put_object{key, std::to_string(version), expected});
        if (std::holds_alternative<coord::call_done>(written)) {
            return;
        }
    }
}

} // namespace

version_board::version_board(context& shared, membership_runner& members, platform_runner& platform,
                             tasks& background, listener changed)
    : shared_(shared), members_(members), platform_(platform), tasks_(background),
      changed_(std::move(changed)) {}

void version_board::announce(const kernel::pool_id& pool, std::uint64_t version) {
    if (!raise(pool, version)) {
        return;
    }
    publish(pool, version);
    tasks_.run([this, pool, version] { store_version(platform_, pool, version); });
}

void version_board::on_item(const coord::item_key& key, const coord::held_item& item) {
    if (key.kind == item_kind) {
        raise(kernel::pool_id(key.name), item.version);
    }
}

void version_board::load() {
    const auto outcome =
        platform_.call(coord::call_kind::step_state, coord::list_objects{object_kind});
    const auto* listing = std::get_if<coord::call_listing>(&outcome);
    if (listing == nullptr) {
        return;
    }
    for (const auto& one : listing->objects) {
        const kernel::pool_id pool(one.key.name);
        const auto version = kernel::parse_integer<std::uint64_t>(one.value);
        if (version && raise(pool, *version)) {
            publish(pool, *version);
        }
    }
}

void version_board::on_configuration() {
    const auto active = shared_.configuration.read();
    for (const auto& pool : active->declared.pools) {
        raise(pool.id, pool.pinned_version.value_or(pool.first_version));
    }
}

std::uint64_t version_board::newest(const kernel::pool_id& pool) const {
    const std::lock_guard lock(mutex_);
    const auto it = newest_.find(pool);
    return it == newest_.end() ? 0 : it->second;
}

std::map<kernel::pool_id, std::uint64_t> version_board::all() const {
    const std::lock_guard lock(mutex_);
    return newest_;
}

bool version_board::raise(const kernel::pool_id& pool, std::uint64_t version) {
    {
        const std::lock_guard lock(mutex_);
        auto [it, is_new] = newest_.try_emplace(pool, version);
        if (!is_new && it->second >= version) {
            return false;
        }
        it->second = version;
    }
    changed_(pool, version);
    return true;
}

void version_board::publish(const kernel::pool_id& pool, std::uint64_t version) {
    members_.publish({item_kind, pool.str(), version, std::to_string(version), item_lifetime});
}

} // namespace cornelloom::daemon
