#pragma once

#include "coord/coord.hpp"

#include <map>

namespace cornelloom::test {

using namespace cornelloom::coord;

/// The platform's object API in memory. Versions of an object grow even over its deletion.
struct fake_platform {
    std::map<object_key, stored_object> objects;
    std::uint64_t revision = 0;

    platform_outcome apply(const platform_operation& what) {
        return std::visit([&](const auto& op) { return on(op); }, what);
    }

    [[nodiscard]] const stored_object* find(const object_key& key) const {
        const auto found = objects.find(key);
        return found == objects.end() || found->second.deleted ? nullptr : &found->second;
    }

private:
    platform_outcome on(const get_object& op) {
        const auto* found = find(op.key);
        return found ? platform_outcome{call_object{*found}} : call_not_found{};
    }

    platform_outcome on(const put_object& op) {
        auto& object =
            objects.try_emplace(op.key, stored_object{op.key, 0, {}, true}).first->second;
        const auto current = object.deleted ? 0 : object.version;
        if (op.expected_version && *op.expected_version != current) {
            return call_conflict{current};
        }
        object = {op.key, object.version + 1, op.value, false};
        ++revision;
        return call_done{object.version};
    }

    platform_outcome on(const delete_object& op) {
        if (find(op.key) == nullptr) {
            return call_not_found{};
        }
        objects.at(op.key).deleted = true;
        return call_done{++revision};
    }

    platform_outcome list(const std::string& kind) {
        call_listing listing{revision, {}};
        for (const auto& [key, object] : objects) {
            if (key.kind == kind) {
                listing.objects.push_back(object);
            }
        }
        return listing;
    }

    platform_outcome on(const list_objects& op) { return list(op.kind); }

    platform_outcome on(const watch_objects& op) { return list(op.kind); }

    platform_outcome on(const list_hosts& /*op*/) { return call_hosts{}; }
};

} // namespace cornelloom::test
