#pragma once

/// The configuration of the fleet as one value: a set of files, cut into immutable bodies that are
/// named by their digest, and one head object in the platform that puts a set in force.

#include "coord/platform.hpp"
#include "kernel/identifiers.hpp"
#include "kernel/result.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::coord {

/// Kinds of the platform objects. The head stands alone in its kind, so that a listing or a watch
/// of it carries no bodies.
inline constexpr std::string_view configuration_head_kind = "config-head";
inline constexpr std::string_view configuration_body_kind = "config-body";
inline constexpr std::string_view configuration_head_name = "fleet";

/// Bytes of one body. Half of the platform's limit, since JSON escapes may double a text.
inline constexpr std::size_t configuration_part_limit = platform_value_limit / 2;

struct configuration_file {
    std::string path;
    std::string text;
    bool operator==(const configuration_file&) const = default;
};

/// Sorted by path, without doubles.
struct configuration_set {
    std::vector<configuration_file> files;
    bool operator==(const configuration_set&) const = default;
};

/// The set as one text. An error for doubled paths and for text that is not UTF-8.
[[nodiscard]] kernel::result<std::string> encode(const configuration_set& set);
[[nodiscard]] std::optional<configuration_set> decode_set(std::string_view text);

enum class difference_kind { added, removed, changed };

struct file_difference {
    difference_kind kind = difference_kind::changed;
    std::string path;
    bool operator==(const file_difference&) const = default;
};

/// What an operator who lost a race is told: how `after` differs from `before`, file by file.
[[nodiscard]] std::vector<file_difference> differences(const configuration_set& before,
                                                       const configuration_set& after);

struct applied_set {
    std::string apply_id;
    std::uint64_t generation = 0;
    bool operator==(const applied_set&) const = default;
};

/// How many applies the head remembers. At 1,300 a day that is about half an hour, longer than an
/// operator's command goes on asking whether its apply took effect.
inline constexpr std::size_t remembered_applies = 32;

/// The value of the head object. Generation 0: nothing was ever applied.
struct configuration_head {
    std::uint64_t generation = 0;
    std::string set_digest;
    std::vector<std::string> parts;  ///< Digests of the bodies, in order.
    std::vector<applied_set> recent; ///< Newest last.
    bool operator==(const configuration_head&) const = default;
};

[[nodiscard]] std::string encode(const configuration_head& head);
[[nodiscard]] std::optional<configuration_head> decode_head(std::string_view text);

/// Cuts a text into parts of at most `limit` bytes, never inside a UTF-8 character.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, std::size_t limit);

/// A live host as the choice of watchers sees it.
struct watch_candidate {
    kernel::host_id host;
    kernel::zone_id zone;
};

/// Hosts of a zone that hold a watch. Two: one may be restarting. More would spend the platform's
/// reads, since a waiting watch counts as a call.
inline constexpr std::size_t watchers_per_zone = 2;

/// Whether `self` is among the watchers of its zone: the highest by rendezvous hash over the live
/// hosts, so that a change of membership moves few watches. Hosts that disagree about membership
/// for a moment watch once too often or too seldom; the slow poll of every host covers the latter.
[[nodiscard]] bool should_watch(const watch_candidate& self, std::span<const watch_candidate> live);

} // namespace cornelloom::coord
