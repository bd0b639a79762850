#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cornelloom::kernel {

/// A string that cannot be passed where another kind of identifier is expected.
template <class Tag> class identifier {
public:
    identifier() = default;

    explicit identifier(std::string value) : value_(std::move(value)) {}

    explicit identifier(std::string_view value) : value_(value) {}

    explicit identifier(const char* value) : value_(value) {}

    [[nodiscard]] const std::string& str() const { return value_; }

    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const identifier&) const = default;
    bool operator==(const identifier&) const = default;

private:
    std::string value_;
};

using host_id = identifier<struct host_tag>;
using zone_id = identifier<struct zone_tag>;
using region_id = identifier<struct region_tag>;
using target_id = identifier<struct target_tag>;
using caller_id = identifier<struct caller_tag>;
using pool_id = identifier<struct pool_tag>;
using request_id = identifier<struct request_tag>;
using trainer_id = identifier<struct trainer_tag>;
using service_id = identifier<struct service_tag>;
using model_id = identifier<struct model_tag>;

} // namespace cornelloom::kernel

template <class Tag> struct std::hash<cornelloom::kernel::identifier<Tag>> {
    std::size_t operator()(const cornelloom::kernel::identifier<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};
