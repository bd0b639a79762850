#include "standins/internal/object_store.hpp"

#include <algorithm>
#include <ranges>

namespace cornelloom::standins {

std::optional<stored_object> object_store::get(const std::string& kind,
                                               const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find({kind, name});
    if (it == objects_.end() || it->second.deleted) {
        return std::nullopt;
    }
    return it->second;
}

write_outcome object_store::put(const std::string& kind, const std::string& name, std::string value,
                                std::optional<std::int64_t> expect) {
    const std::lock_guard lock(mutex_);
    auto& object = objects_[{kind, name}];
    const auto current = object.deleted ? 0 : object.version;
    if (expect && *expect != current) {
        return {write_outcome::kind::conflict, current};
    }
    object = {kind, name, std::move(value), object.version + 1, ++revision_, false};
    changed_.notify_all();
    return {write_outcome::kind::done, object.version};
}

write_outcome object_store::remove(const std::string& kind, const std::string& name,
                                   std::optional<std::int64_t> expect) {
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find({kind, name});
    if (it == objects_.end() || it->second.deleted) {
        return {write_outcome::kind::not_found, 0};
    }
    auto& object = it->second;
    if (expect && *expect != object.version) {
        return {write_outcome::kind::conflict, object.version};
    }
    object.deleted = true;
    object.value.clear();
    object.revision = ++revision_;
    changed_.notify_all();
    return {write_outcome::kind::done, object.version};
}

object_store::listing object_store::list(const std::string& kind) const {
    const std::lock_guard lock(mutex_);
    auto found = changed_after(kind, -1);
    std::erase_if(found.objects, &stored_object::deleted);
    return found;
}

object_store::listing object_store::watch(const std::string& kind, std::int64_t after,
                                          std::chrono::milliseconds wait) const {
    std::unique_lock lock(mutex_);
    listing found;
    changed_.wait_for(lock, wait, [&] {
        found = changed_after(kind, after);
        return !found.objects.empty();
    });
    return found;
}

object_store::listing object_store::changed_after(const std::string& kind,
                                                  std::int64_t after) const {
    listing found{revision_, {}};
    for (const auto& object : objects_ | std::views::values) {
        if (object.kind == kind && object.revision > after) {
            found.objects.push_back(object);
        }
    }
    return found;
}

} // namespace cornelloom::standins
