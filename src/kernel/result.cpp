#include "kernel/result.hpp"

namespace cornelloom::kernel {

std::string_view to_string(error_code code) {
    switch (code) {
    case error_code::invalid_input:
        return "invalid_input";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::unknown:
        return "unknown";
    case error_code::timed_out:
        return "timed_out";
    case error_code::unauthorized:
        return "unauthorized";
    case error_code::throttled:
        return "throttled";
    case error_code::too_large:
        return "too_large";
    case error_code::cancelled:
        return "cancelled";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

} // namespace cornelloom::kernel
