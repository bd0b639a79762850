#pragma once

/// Follows the configuration at one host: hears of newer generations from gossip or the platform,
/// fetches the whole set, verifies it, and only then lets it come into force. Never downward.

#include "coord/configuration.hpp"

#include <map>

namespace cornelloom::coord {

/// A set that was accepted is in force on every host within this time, counted from the end of a
/// disturbance of the platform if there was one.
inline constexpr kernel::duration configuration_bound = std::chrono::seconds{10};

struct follow_settings {
    kernel::host_id self;
    bool peers_expected = false; ///< Other hosts are known from the settings or the host list.
    /// A host that expects peers but hears none waits this long before the platform alone decides.
    kernel::duration boot_wait = std::chrono::seconds{3};
    /// A watcher learns of a lost answer only when its watch is over. This, `watch_answer_time`, a
    /// pause and a list add up to less than `configuration_bound`.
    kernel::duration watch_timeout = std::chrono::seconds{5};
    /// Every host reads the head this often, in case gossip failed it: about 1.3 reads a second
    /// at 370 hosts.
    kernel::duration poll_every = std::chrono::minutes{5};
    /// A lower head is an alarm only if it is still lower after this time: reads may be stale.
    kernel::duration regress_confirm = std::chrono::seconds{5};
    backoff_settings retry{.longest = std::chrono::seconds{2}};
};

/// What gossip tells of the newest configuration that a host has in force.
struct configuration_hint {
    std::uint64_t generation = 0;
    std::string set_digest;
    bool operator==(const configuration_hint&) const = default;
};

/// Why an operator must look at the platform's head. The configuration in force stays.
enum class configuration_alarm {
    head_regressed,  ///< The head's generation is lower than the one in force.
    head_missing,    ///< There is no head, though a generation is in force.
    head_diverged,   ///< The same generation with another digest.
    body_damaged,    ///< A fetched set does not match its digest.
    head_unreadable, ///< The head object is no head.
};

[[nodiscard]] std::string_view to_string(configuration_alarm alarm);

/// Asks a peer for a text: the head it has in force, or the body of that digest.
struct peer_fetch {
    std::uint64_t token = 0;
    kernel::host_id peer;
    std::string digest; ///< Empty: the head.
};

/// A set that must be fetched before it can come into force.
struct wanted_set {
    configuration_head head;
    kernel::host_id peer; ///< Who has it; empty: only the platform is known to.
    std::map<std::string, std::string, std::less<>> bodies;
    unsigned failures = 0;
};

/// The call that the machine waits for.
struct follow_pending {
    std::uint64_t token = 0;
    std::string digest; ///< Empty: the head.
    bool from_peer = false;
    bool listing = false; ///< Its answer holds the whole kind: an absent head is a missing one.
};

struct configuration_follow {
    follow_settings settings;
    configuration_head in_force;
    std::string body;                                      ///< The encoded set in force.
    std::map<std::string, std::string, std::less<>> parts; ///< Of the set in force, for peers.
    std::optional<wanted_set> wanted;
    /// The highest generation heard of, and who has it in force.
    configuration_hint newest_heard;
    kernel::host_id newest_peer;
    std::optional<follow_pending> fetch;     ///< Head from a peer, or a body.
    std::optional<follow_pending> head_call; ///< Head read, listing or watch of the platform.
    bool watching = false;
    std::optional<std::uint64_t> revision; ///< Where the watch goes on.
    bool platform_checked = false;
    bool peer_heard = false;
    std::optional<kernel::time_point> lower_since;
    kernel::time_point started{};
    kernel::time_point next_fetch{};
    kernel::time_point next_poll{};
    unsigned fetch_failures = 0;
    unsigned head_failures = 0;
    std::uint64_t stale_reads = 0;
    std::uint64_t next_token = 1;
};

/// A live host was heard to have this in force.
struct hint_heard {
    kernel::host_id host;
    configuration_hint hint;
};

/// Whether this host is among the watchers of its zone.
struct watch_duty {
    bool watch = false;
};

struct peer_answer {
    std::uint64_t token = 0;
    std::optional<std::string> text; ///< Nothing: not reached, or it has no such text.
};

struct follow_tick {};

using follow_event =
    std::variant<hint_heard, watch_duty, peer_answer, platform_answer, follow_tick>;

struct follow_effects {
    std::vector<platform_call> calls;
    std::vector<peer_fetch> fetches;
    bool now_in_force = false; ///< `in_force` and `body` have just moved upward.
    std::vector<configuration_alarm> alarms;
    kernel::time_point next{};
};

[[nodiscard]] configuration_follow make_follow(const follow_settings& settings,
                                               kernel::time_point now);

[[nodiscard]] follow_effects step(configuration_follow& state, const follow_event& event,
                                  kernel::time_point now);

/// Whether the host may serve: it has the newest generation known to a peer or the platform. A
/// host with an empty disk that served before would apply rules that have been replaced.
[[nodiscard]] bool is_ready(const configuration_follow& state, kernel::time_point now);

/// What this host tells others by gossip.
[[nodiscard]] configuration_hint own_hint(const configuration_follow& state);

/// The answer to a peer's fetch; empty digest: the head in force.
[[nodiscard]] std::optional<std::string> serve(const configuration_follow& state,
                                               std::string_view digest);

} // namespace cornelloom::coord
