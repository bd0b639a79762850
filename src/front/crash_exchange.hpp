#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Spreads what hosts know of requests that crash targets.
///
/// A caller sends such a request to any host of any zone. If each host had to find it out by
/// itself, the number of crashed targets would grow with the number of hosts. A host with news
/// tells a few hosts of each zone at once, and these regularly exchange what they know with each
/// other and with the hosts of their zone. So a host that has just started or was cut off catches
/// up, and a message that was lost does no harm. What is regularly exchanged is little: a crash of
/// many targets leaves hundreds of suspects, but hardly one of them crashes a second target. All
/// knowledge expires; `quarantine_store.hpp` keeps what must outlast all hosts.

/// URL path under which a host takes what another one knows, and answers with what it knows.
inline constexpr std::string_view crashes_path = "/crashes";

/// Hosts of each zone that are told at once; the others ask one of them.
inline constexpr std::size_t zone_hosts_told = 2;

[[nodiscard]] std::string encode_crashes(const decide::shared_crashes& crashes);
[[nodiscard]] kernel::result<decide::shared_crashes> decode_crashes(std::string_view text);

/// Merges what `from`, another host or the store, knows, and logs new quarantines.
void merge_crashes_of(host& self, const decide::shared_crashes& received, std::string_view from);

/// Merges what the host `from` knows and returns the digests that it told of. Anything invalid is
/// logged and ignored.
std::set<std::uint64_t> merge_crashes_of(host& self, std::string_view text, std::string_view from);

/// Handles a request of a peer.
loop::task<void> serve_crashes(std::shared_ptr<host> self, loop::served_request& request);

/// Exchanges with other hosts until the event loop ends.
void start_crash_exchange(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
