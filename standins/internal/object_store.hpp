#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelloom::standins {

struct stored_object {
    std::string kind;
    std::string name;
    std::string value;
    std::int64_t version = 0;
    std::int64_t revision = 0;
    bool deleted = false;
};

struct write_outcome {
    enum class kind { done, conflict, not_found };
    kind what = kind::done;
    std::int64_t version = 0; ///< The new version, or the one that stood in the way.
};

/// The objects of the stand-in platform: versions, conditional updates, watches. Thread-safe.
class object_store {
public:
    [[nodiscard]] std::optional<stored_object> get(const std::string& kind,
                                                   const std::string& name) const;
    write_outcome put(const std::string& kind, const std::string& name, std::string value,
                      std::optional<std::int64_t> expect);
    write_outcome remove(const std::string& kind, const std::string& name,
                         std::optional<std::int64_t> expect);

    struct listing {
        std::int64_t revision = 0;
        std::vector<stored_object> objects;
    };

    /// Objects of the kind that exist.
    [[nodiscard]] listing list(const std::string& kind) const;

    /// Waits until an object of the kind has changed after that revision, or the time is over.
    [[nodiscard]] listing watch(const std::string& kind, std::int64_t after,
                                std::chrono::milliseconds wait) const;

private:
    [[nodiscard]] listing changed_after(const std::string& kind, std::int64_t after) const;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, stored_object> objects_;
    std::int64_t revision_ = 0;
};

} // namespace cornelloom::standins
