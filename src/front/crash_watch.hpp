#pragma once

#include "decide/decide.hpp"
#include "front/adapter.hpp"
#include "kernel/clock.hpp"
#include "loop/gate.hpp"
#include "loop/task.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

/// Detection of requests that crash the targets that run them.
///
/// Designed for a caller that sends such a request again and again, each time under a new id and at
/// any host. Each attempt would end one target more, and the retries of the host itself a second
/// one. A broken connection alone does not show a crash: answers get lost, and links are reset. So
/// the target is asked for a new connection first; one that accepts none has crashed. So has one
/// that accepts it but turns out to be a later start. A target that doesn't answer in time is asked
/// alike, since the end of a machine closes no connection. Which of the requests that it ran is the
/// cause, and whether a request may be sent, is decided in `decide/quarantine.hpp`; hosts tell each
/// other what they know (`crash_exchange.hpp`).

struct host;
struct target_state;

/// What makes two requests the same. The id is no part of it, since each attempt has its own.
struct request_content {
    std::string_view caller; ///< Client account, or hash of the key; empty: anyone.
    std::string_view host;
    std::string_view method;
    std::string_view path;
    std::string_view query;
    std::string_view body;
};

[[nodiscard]] std::uint64_t digest_of(const request_content& request);

/// The digest of a caller's request. Without accounts, callers are told apart by their keys.
[[nodiscard]] std::uint64_t digest_of_request(const transport::http_request& message,
                                              const caller_request& info,
                                              const std::optional<std::string>& account);

/// The digest as log lines show it.
[[nodiscard]] std::string digest_text(std::uint64_t digest);

/// Identifies a run in `crash_watch`.
using run_number = std::uint64_t;

/// How a run ended, as far as it tells of a crash.
enum class run_end {
    survived, ///< The target answered.
    broken,   ///< The connection ended, and with it the answer, if any.
    silent,   ///< No answer in time.
    unknown,  ///< Not run, given up, or no valid answer.
};

/// How a run ended whose exchange with the target failed.
[[nodiscard]] run_end run_end_of(loop::exchange_fault fault);

/// Who may send the same request again.
enum class run_source {
    caller, ///< A caller, to any host.
    batch,  ///< The host that runs its batch.
};

/// Whether the request may be sent now, as far as this host knows.
[[nodiscard]] decide::send_verdict judge_request(const host& self, std::uint64_t digest,
                                                 run_source source);

/// How the answer to a run comes.
enum class run_form {
    whole,  ///< At once, as a rule within tens of milliseconds.
    stream, ///< Event by event, with pauses.
};

/// One start of a target, as listed when a request was sent to it.
struct target_start {
    std::string id;
    transport::endpoint address;
    std::uint64_t hash = 0; ///< Of the id and the time of the start.
};

/// A request of this host in flight at a target.
struct active_run {
    std::uint64_t digest = 0;
    target_start target;
    run_source source = run_source::caller;
    kernel::time_point sent{};
    run_form form = run_form::whole;
    bool checked = false; ///< Its target has been asked because it is silent.
};

/// All runs of one request at a target.
struct active_request {
    kernel::duration longest_run{};
    run_source source = run_source::batch; ///< `caller` if any run is.
};

/// A target that may have crashed, and what ran there.
struct broken_target {
    target_start target;
    kernel::time_point broke_at{};
    std::map<std::uint64_t, active_request> in_flight; ///< By digest; without what was answered.
    bool being_asked = true; ///< The answer to the connection request is awaited.
};

/// What this host knows of the quarantined requests in the store.
struct stored_quarantines {
    std::uint64_t revision = 0; ///< 0: unknown, or the store has none.
    bool was_read = false;      ///< Since the start of this process.
    bool being_written = false;
};

/// The runs of this host, and what it knows of crashes.
struct crash_watch {
    explicit crash_watch(loop::io_context& loop)
        : evidence_changed(loop), changed(loop), store_idle(loop) {}

    std::map<run_number, active_run> runs{};
    run_number next_run = 1;
    std::map<run_number, broken_target> broken{}; ///< By the run that showed it.
    /// Opened when a target has been asked, or more is known of a request.
    loop::gate evidence_changed;
    decide::crash_ledger ledger{};
    decide::quarantine_policy rules{};
    std::set<std::uint64_t> news{};  ///< Digests that other hosts are to be told of at once.
    loop::gate changed;              ///< Opened when there are more of them.
    kernel::time_point expired_at{}; ///< When `expire_crashes` last ran.
    stored_quarantines stored{};
    loop::gate store_idle; ///< Opened at the end of a write of `stored`.
    /// When the quarantined requests are to be stored anew; unset: they are stored.
    std::optional<kernel::time_point> store_at{};
};

/// The rules of a host: three targets, since an attempt of a caller may reach two at once.
[[nodiscard]] decide::quarantine_policy default_quarantine_rules();

/// Registers a run that is being sent to the target.
[[nodiscard]] run_number begin_run(host& self, std::uint64_t digest, std::string_view target_id,
                                   run_source source, run_form form);

/// Records that an owed request which has crashed several targets is sent to one more. Other hosts
/// learn of it by the regular exchange: only a new owner of its batch needs to know.
void begin_try(host& self, std::uint64_t digest);

/// Records that the run after `begin_try` ended without an answer, but not by a crash.
void end_try(host& self, std::uint64_t digest);

/// Clears an owed request that has run for `run_time` on a target if that proves it safe.
void clear_if_proven(host& self, std::uint64_t digest, kernel::duration run_time);

/// The targets on which this host runs other requests that have crashed several targets.
[[nodiscard]] std::vector<std::string> targets_of_repeated_suspects(const host& self,
                                                                    std::uint64_t digest);

/// Removes the run. After a broken connection, or none of the answer for long, checks in the
/// background whether the target has crashed.
void end_run(const std::shared_ptr<host>& self, run_number run, run_end end);

/// Why a request must not be sent to a target.
struct quarantine_verdict {
    milliseconds retry_delay{0}; ///< Until it may be sent again.
    std::size_t crashed_targets = 0;
};

/// Unset if the request is not quarantined. Soon after the request was identified, the delay is
/// short, because another host may still dispute it.
[[nodiscard]] std::optional<quarantine_verdict> find_quarantine(const host& self,
                                                                std::uint64_t digest);

/// Whether the request was on a target that crashed, and may be the cause.
[[nodiscard]] bool is_crash_suspect(const host& self, std::uint64_t digest);

/// Whether a target that ran the suspect is being asked whether it has crashed. Until that is
/// known, the request must not be sent to another one: it may be the crash that names it.
[[nodiscard]] bool is_being_checked(const host& self, std::uint64_t digest);

/// Waits until the request is not being checked, or until `deadline`.
loop::task<void> wait_for_checks(std::shared_ptr<host> self, std::uint64_t digest,
                                 kernel::time_point deadline);

/// Chooses a target like `choose_target`. A suspect goes, if it can, to a target without another
/// suspect of this host: if a target with two of them crashed, they could not be told apart.
/// `may_reuse`: the request may use an open connection, so targets with one are preferred.
[[nodiscard]] target_state* choose_target_apart(host& self, std::string_view service,
                                                std::uint64_t digest,
                                                const std::set<std::string, std::less<>>& tried,
                                                bool may_reuse);

/// Asks the targets of plain requests that have been silent for long whether they have crashed.
void check_silent_runs(const std::shared_ptr<host>& self);

/// Drops what has expired, and updates the gauge of quarantined requests.
void expire_crashes(host& self);

/// What a request was quarantined by, for the log.
namespace quarantine_basis {
inline constexpr std::string_view own_crash = "crash"; ///< A crash that this host saw.
inline constexpr std::string_view told = "told";       ///< Another host has quarantined it.
/// What several hosts know together.
inline constexpr std::string_view merged = "merged";
/// An answer to another request that ran on the same targets.
inline constexpr std::string_view other_answered = "other_answered";
} // namespace quarantine_basis

/// Announces that this host has identified the request: in the log, to other hosts and in the
/// store.
void announce_quarantine(host& self, std::uint64_t digest, std::string_view basis);

/// Logs that the request was quarantined, because of what `by_host` has told.
void report_quarantine(host& self, std::uint64_t digest, std::string_view by_host,
                       std::string_view basis);

/// Reason of a refusal of a quarantined request.
inline constexpr std::string_view quarantined_reason = "quarantined";

} // namespace cornelloom::front
