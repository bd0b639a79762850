#include "loop/received_body.hpp"

#include "kernel/memory_reserve.hpp"

#include <algorithm>
#include <new>
#include <stdexcept>

namespace cornelloom::loop {

boost::system::error_code received_body::reader::make_room(std::size_t more) {
    auto& text = body_->text;
    const auto needed = text.size() + more;
    if (needed <= text.capacity()) {
        return {};
    }
    const auto wanted = std::max(needed, std::min(text.capacity() * 2, announced_));
    if (!kernel::has_memory_for(wanted) || !body_->share.grow(wanted)) {
        return no_memory();
    }
    try {
        text.reserve(wanted);
    } catch (const std::bad_alloc&) {
        return no_memory();
    } catch (const std::length_error&) {
        return no_memory();
    }
    return {};
}

} // namespace cornelloom::loop
