#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Looks for a newer configuration before a request with an unknown key is refused.
///
/// A refusal for an unknown key is final for its caller, and a key may be in use before every host
/// has the version that brought it. A host of another zone is asked first, then the store. All
/// requests that wait share one lookup, and lookups are limited, so that callers with wrong keys
/// cannot multiply calls to the store.

/// Time that a request waits for a lookup.
inline constexpr milliseconds key_lookup_timeout{400};
/// Between two lookups.
inline constexpr milliseconds key_lookup_interval{500};

/// Returns when a lookup has ended, its time is over, or none is due. The configuration of this
/// host may have changed by then.
loop::task<void> look_up_configuration(std::shared_ptr<host> self);

} // namespace cornelloom::front
