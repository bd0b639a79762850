#pragma once

#include "platform/standins/callers.hpp"
#include "platform/standins/target.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::soak {

namespace standins = platform::standins;

using loop::deadline;
using loop::milliseconds;

/// Bounds that the promises name, as the processes have them in their settings.
struct promise_bounds {
    milliseconds drain{2500};
    milliseconds order_turn{3000};
    milliseconds thaw{300};
    milliseconds configuration{2500}; ///< From the store's answer to its effect everywhere.
    milliseconds rollback{250};
    milliseconds cancel{3000};
    milliseconds settle{1000};
    milliseconds revocation{5000}; ///< A key that was taken away opens nothing after this, ever.
    milliseconds calm{4000};       ///< Without trouble for so long, the bounds above hold.
};

/// How often a request of a caller may run.
enum class run_rule { any, once };

/// How long a caller waits for its answer.
inline constexpr milliseconds caller_time_left{3000};

/// What a caller's request should run under.
struct sent_request {
    run_rule rule = run_rule::any;
    std::string account{}; ///< Empty: none.
    bool revoked = false;  ///< Its key was taken away longer ago than the bound when it was sent.
    deadline sent{};       ///< Set by `note_sent`.
};

/// What is known of one step of a trainer.
struct step_record {
    standins::step_plan plan;
    deadline accepted{};   ///< Zero: no submission of it was answered with success.
    deadline ended{};      ///< Zero: its end was not acknowledged.
    bool in_doubt = false; ///< A submission may have been taken.
    std::vector<front::item_result> listed{}; ///< By position, as first read.
    std::set<std::string, std::less<>> listed_items{};
};

/// How late the soak's own loop is, which plays callers, targets and proxies. What it reads late
/// was not sent late.
struct loop_lateness {
    deadline beat{};         ///< When `note_beat` was last called; zero: never.
    milliseconds latest{0};  ///< By how much that call was late.
    deadline latest_until{}; ///< When the loop was last seen to be late.
};

/// Between two calls of `note_beat`.
inline constexpr milliseconds beat_interval{20};

/// What callers and targets have seen of the system, and the promises that this breaks. Everything
/// is judged from outside, by ids.
struct ledger {
    promise_bounds bounds{};
    loop_lateness lateness{};
    std::map<std::string, int> ranks{}; ///< Priorities of the client accounts.
    std::vector<std::string> broken{};
    deadline calm_since{};                    ///< The end of the last trouble.
    int troubles = 0;                         ///< In progress.
    std::map<std::string, deadline> thawed{}; ///< Hosts, and when they last went on.

    struct run {
        std::string target;
        std::string path;
        deadline at{};
    };

    std::map<std::string, std::vector<run>, std::less<>> runs{};
    std::map<std::string, sent_request, std::less<>> sent{}; ///< By the ids that callers have sent.
    std::set<std::string, std::less<>> refused{}; ///< Ids that were told they have not run.
    /// What targets answered, by id: stamp and body of each success.
    std::map<std::string, std::map<std::string, std::string>, std::less<>> answers{};
    std::map<std::string, deadline, std::less<>> leaving{}; ///< Targets, since their entry says so.
    std::map<std::string, std::string, std::less<>> step_of_item{};
    std::map<std::string, step_record, std::less<>> steps{};

    struct last_order {
        std::string holder;
        std::uint64_t fence = 0;
        deadline at{};
    };

    std::map<std::pair<std::string, std::int64_t>, last_order> orders{};

    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusals = 0;
    std::uint64_t steps_done = 0;
    std::uint64_t calm_crashes = 0; ///< Runs in calm of requests that crash their targets.
};

/// Notes a promise that does not hold; the first words of each kind are printed at the end.
void note_broken(ledger& book, std::string_view promise, const std::string& detail);

/// Whether there has been no trouble for the whole window before now.
[[nodiscard]] bool is_calm(const ledger& book);

/// Records that the soak's loop runs, each `beat_interval`.
void note_beat(ledger& book, deadline now);

/// By how much what the soak reads at this moment may have waited for its loop.
[[nodiscard]] milliseconds own_lateness(const ledger& book, deadline now);

/// An observer of targets that writes into the ledger, which must outlive it.
[[nodiscard]] standins::target_observer observe(ledger& book);

/// A caller sends a request.
void note_sent(ledger& book, const std::string& id, sent_request what);

/// Whether this status promises that the request has not run and never will.
[[nodiscard]] bool promises_not_run(int status);

/// A caller has its answer to a plain request.
void judge_answer(ledger& book, const std::string& id, const transport::http_response& answer);

/// A caller has read a page of results, from that position on.
void judge_page(ledger& book, step_record& step, std::size_t position,
                const standins::results_page& page);

} // namespace cornelloom::soak
