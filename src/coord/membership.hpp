#pragma once

/// Membership by gossip in the manner of SWIM with Lifeguard's refinements: each host probes one
/// other at a time, directly and then through others; an unanswered host is suspected before it
/// counts as dead and can refute by a higher incarnation. Changes, leaving marks, the configuration
/// in force and small items ride on the same datagrams. Needs no platform.

#include "coord/configuration_follow.hpp"
#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"
#include "kernel/result.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelloom::coord {

/// The defaults are made for 370 hosts: about 2 datagrams a second each at rest, and about 15 a
/// second for the second or two that news takes to spread.
struct membership_settings {
    kernel::duration probe_every = std::chrono::seconds{1};
    kernel::duration probe_timeout = std::chrono::milliseconds{300};
    unsigned indirect_probes = 3;
    kernel::duration gossip_every = std::chrono::milliseconds{200};
    unsigned gossip_fanout = 3;
    /// Times log10(hosts) probe periods: how long a suspect that several accuse may refute.
    double suspicion_factor = 3.0;
    /// A suspect with one accuser has this many times longer: the accuser may be at fault.
    double lone_accuser_factor = 3.0;
    double retransmit_factor = 4.0;    ///< Times log10(hosts): how often each delta is sent.
    std::size_t datagram_limit = 1200; ///< Bytes; under any usual MTU, so that none is fragmented.
    /// Dead hosts are remembered and probed, which heals partitions.
    kernel::duration remember_dead = std::chrono::hours{24};
    kernel::duration probe_dead_every = std::chrono::seconds{5};
    kernel::duration compare_every = std::chrono::seconds{30};
    /// A longer gap between steps means that this process was paused.
    kernel::duration pause_threshold = std::chrono::seconds{2};
};

struct member_info {
    kernel::host_id id;
    kernel::zone_id zone;
    kernel::region_id region;
    std::string gossip_address;  ///< `IP:port` for datagrams.
    std::string service_address; ///< `IP:port` for streams between daemons.
    bool operator==(const member_info&) const = default;
};

enum class member_state : std::uint8_t { alive, suspect, dead, left };

[[nodiscard]] std::string_view to_string(member_state state);

struct member {
    member_info info;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    bool leaving = false;         ///< Takes no new work and will go.
    std::uint64_t generation = 0; ///< Of the configuration in force there, as last heard.
    kernel::time_point since{};   ///< When `state` was last changed.
    kernel::time_point suspect_until{};
    std::set<kernel::host_id> accusers;
};

/// Something small that every host should know for a while. The highest version wins; of equal
/// versions the greater payload. Opaque here.
struct gossip_item {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string payload;           ///< At most `item_payload_limit` bytes.
    kernel::duration expires_in{}; ///< Remaining life; hosts share no clock.
};

inline constexpr std::size_t item_payload_limit = 256;
inline constexpr std::size_t item_name_limit = 128;
/// The kind of the marks of targets that leave; the name is the target's id.
inline constexpr std::string_view leaving_target_kind = "leaving-target";

struct item_key {
    std::string kind;
    std::string name;
    auto operator<=>(const item_key&) const = default;
};

struct held_item {
    std::uint64_t version = 0;
    std::string payload;
    kernel::time_point expires{};
};

struct datagram {
    std::string to; ///< `IP:port`
    std::string bytes;
};

enum class delta_kind : std::uint8_t { member, state, generation, item };

/// A change that still has to be told. Encoded from the tables when it is sent, so always newest.
struct queued_delta {
    delta_kind kind = delta_kind::member;
    item_key key; ///< For members, `name` is the host.
    unsigned sent = 0;
};

struct running_probe {
    kernel::host_id target;
    std::uint64_t sequence = 0;
    kernel::time_point indirect_at{};
    kernel::time_point fails_at{};
    bool indirect_sent = false;
};

/// A probe made for another host, to be answered to it.
struct relayed_probe {
    std::uint64_t sequence = 0;       ///< Of this host's ping.
    std::uint64_t reply_sequence = 0; ///< Of the asking host's probe.
    std::string reply_to;
    kernel::time_point expires{};
};

struct membership_counts {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t rejected = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t refutations = 0;
    std::uint64_t full_syncs = 0;
};

struct membership {
    membership_settings settings;
    kernel::host_id self;
    std::map<kernel::host_id, member> members; ///< With self.
    std::map<item_key, held_item> items;
    configuration_hint configuration; ///< In force here.
    std::vector<std::string> seeds;   ///< Gossip addresses.
    std::vector<queued_delta> queue;
    std::vector<kernel::host_id> probe_order;
    std::size_t probe_index = 0;
    std::optional<running_probe> probe;
    std::vector<relayed_probe> relays;
    unsigned health = 0; ///< 0: good; up to `worst_health`: this host doubts itself first.
    std::uint64_t next_sequence = 1;
    kernel::time_point next_probe{};
    kernel::time_point next_gossip{};
    kernel::time_point next_dead_probe{};
    kernel::time_point next_compare{};
    kernel::time_point last_step{};
    std::mt19937_64 random;
    membership_counts counts;
};

inline constexpr unsigned worst_health = 8;

struct membership_tick {};

struct datagram_received {
    std::string from; ///< `IP:port`
    std::string_view bytes;
};

/// More gossip addresses that may answer, for instance from the platform's lagging host list.
struct seeds_heard {
    std::vector<std::string> addresses;
};

/// This host takes no new work from now on.
struct leaving_announced {};

/// This host goes now. Send the datagrams and stop.
struct departure {};

struct configuration_in_force {
    configuration_hint hint;
};

struct item_published {
    gossip_item item;
};

using membership_event =
    std::variant<membership_tick, datagram_received, seeds_heard, leaving_announced, departure,
                 configuration_in_force, item_published>;

enum class member_event { joined, suspected, recovered, died, left, leaving, updated };

[[nodiscard]] std::string_view to_string(member_event event);

struct member_change {
    kernel::host_id host;
    member_event what = member_event::updated;
};

struct membership_effects {
    std::vector<datagram> send;
    std::vector<member_change> changes;
    std::vector<item_key> items; ///< New or newer; look them up in `items`.
    std::vector<hint_heard> hints;
    std::optional<kernel::error> rejected; ///< A datagram that was damaged or not ours.
    kernel::time_point next{};             ///< When to tick at the latest.
};

/// `incarnation` must grow over restarts of a host, such as Unix seconds; if it does not, the
/// host is heard after it has refuted its own death.
[[nodiscard]] membership make_membership(const membership_settings& settings,
                                         const member_info& self, std::uint64_t incarnation,
                                         std::vector<std::string> seeds, std::uint64_t random_seed,
                                         kernel::time_point now);

[[nodiscard]] membership_effects step(membership& state, const membership_event& event,
                                      kernel::time_point now);

/// Hosts that count as live: alive or suspect, with self.
[[nodiscard]] std::vector<const member*> live_members(const membership& state);

/// Whether new work may be sent to that target: false while a leaving mark is in force.
[[nodiscard]] bool is_leaving_target(const membership& state, std::string_view target,
                                     kernel::time_point now);

/// The item in force, or null.
[[nodiscard]] const held_item* find_item(const membership& state, const item_key& key,
                                         kernel::time_point now);

} // namespace cornelloom::coord
