#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace cornelloom::kernel {

/// What went wrong, for code that must choose what to do next.
enum class error_code {
    invalid_input,
    not_found,
    conflict,     ///< A conditional update met another version than expected.
    unavailable,  ///< The other side could not be reached; nothing was sent.
    unknown,      ///< Something was sent and no whole answer came back: it may have taken effect.
    timed_out,    ///< The deadline passed; like unknown if something was sent.
    unauthorized, ///< Missing or wrong credentials.
    throttled,    ///< Refused by a rate limit, here or at the other side.
    too_large,
    cancelled,
    internal,
};

[[nodiscard]] std::string_view to_string(error_code code);

struct error {
    error_code code = error_code::internal;
    std::string detail; ///< For people; never parsed.
};

/// A value or an error. Reading the absent one ends the process instead of going on with nonsense.
template <class T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

} // namespace cornelloom::kernel
