#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelloom::front {

/// Passing on what the platform's store says to the other hosts of a zone.
///
/// Load it is made for: sixty hosts and more that each want to know of every change. The store
/// charges each call, a waiting one as well, so watches of all hosts would be the largest cost of a
/// day. One host of a zone, the one with the most processor time, watches the store; the others ask
/// it, over connections inside their zone. Nothing depends on it: when it does not answer, or has
/// lost touch with the store, the next one in line watches as soon as it is asked, and the others
/// turn to that.

/// A feeder without a sign of the store for longer than this passes nothing on: twice the usual
/// pause between two of its calls, and far below the shortest bound on being up to date, 2.5 s.
inline constexpr milliseconds feed_touch{1700};

/// A whole list of some thousand targets to some tens of hosts takes its feeder this long. Hosts
/// that gave up midway would all ask for it once more.
inline constexpr milliseconds list_time{4000};

/// A fed host's question waits for so long; a suspended feeder shows after that and the allowance.
inline constexpr milliseconds feed_wait{900};

/// The feeder to ask now; nothing if this host watches the store itself.
[[nodiscard]] std::optional<host_entry> choose_feeder(host& self, object_kind kind);

/// Whether this host watches the store itself, for any kind.
[[nodiscard]] bool watches_store(const host& self);

/// What a feeder knows of one kind, after a list.
void keep_list(host& self, object_kind kind, const std::vector<stored_object>& all,
               std::uint64_t at);
/// The same after changes.
void keep_changes(host& self, object_kind kind, const std::vector<object_change>& changes,
                  std::uint64_t at);

/// What a feeder answers beside 200 when it has no fresh news.
inline constexpr int status_out_of_touch = 503;

/// The path of the question.
inline constexpr std::string_view feed_path = "/feed";

/// A question for changes since `at`, 0 for everything.
[[nodiscard]] transport::http_request feed_question(object_kind kind, std::uint64_t at);

/// Adds what this process has counted of requests. Feeders keep the counts of their zone, so that
/// those of a process which is killed are not lost, and none needs a call of its own.
void tell_counts(const host& self, transport::http_request& question);

/// What a feeder answered: a whole list if it was asked for one, else changes.
struct feed_answer {
    std::uint64_t at = 0;
    std::vector<object_change> changes;
    /// All names that there are; what is not among them is gone. Nothing: `changes` tells of that.
    std::optional<std::vector<std::string>> names{};
    /// The store said all this so long ago at most; nothing: the feeder can't tell.
    std::optional<milliseconds> age{};
};

/// What a feeder tells a host that knows everything up to `at`: not all of it if it is much. The
/// host asks for the rest from `at` of the answer on.
[[nodiscard]] feed_answer news_since(const kept_kind& kept, std::uint64_t at);

/// The same encoded, made once for all hosts that know as much: they start together, or lose their
/// feeder together. Valid until `kept` changes or news for others are encoded.
[[nodiscard]] const std::string& encode_news_once(kept_kind& kept, std::uint64_t at);

/// Changes that remove what is known and is not among the names.
[[nodiscard]] std::vector<object_change> removals(const std::set<std::string, std::less<>>& known,
                                                  const std::vector<std::string>& names);

[[nodiscard]] std::string encode_feed(const feed_answer& answer);
[[nodiscard]] kernel::result<feed_answer> decode_feed(std::string_view body);

/// Answers a fed host.
loop::task<void> serve_feed(std::shared_ptr<host> self, loop::served_request& request);

} // namespace cornelloom::front
