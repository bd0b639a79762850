#pragma once

#include "front/batch.hpp"
#include "front/host.hpp"
#include "front/log_knowledge.hpp"
#include "front/plain_call.hpp"
#include "loop/exchange.hpp"

#include <map>
#include <memory>
#include <string>

namespace cornelloom::front {

/// An item that is running at a target.
struct item_run {
    std::shared_ptr<loop::exchange> exchange;
    std::string target;
    time_point sent{};
    time_point first_event{};        ///< Zero before the first event.
    time_point last_event{};         ///< Arrival of the latest event; `sent` before the first.
    std::int64_t events = 0;         ///< Received in this run.
    bool silent = false;             ///< It is being stopped because its target is silent.
    bool being_moved = false;        ///< It is being stopped, to continue at another target.
    bool counted_as_leaving = false; ///< In `target_state::leaving`.
};

/// A batch that is loaded in this process, with its runs and pending calls.
struct live_batch {
    live_batch(std::shared_ptr<host> this_host, batch loaded)
        : local_host(std::move(this_host)), state(std::move(loaded)), changed(local_host->io) {}

    std::shared_ptr<host> local_host;
    batch state;
    time_point known_since = local_host->clock.boot_now(); ///< A time of `boot_now`.
    loop::gate changed;        ///< Opened when results are added, runs end or the owner changes.
    bool owned = false;        ///< This process runs its items.
    bool handing_over = false; ///< The runs are stopped, to continue on another host.
    bool appending = false;    ///< An entry of its log is being written.
    std::map<std::size_t, item_run> runs{};                               ///< By the item's index.
    std::map<std::size_t, std::shared_ptr<call_control>> scoring_calls{}; ///< By the item's index.
    time_point last_used{};      ///< Last call of a caller on it.
    log_knowledge log{};         ///< How recent this host's copy of the log is.
    bool reading_log = false;    ///< The task that drives the batch is reading the log.
    bool sending_paused = false; ///< No item is sent: the log may have entries unknown here.
};

using live_batch_ptr = std::shared_ptr<live_batch>;

/// The route on which the batch was submitted; null if the current configuration has none.
[[nodiscard]] const route* route_of(const live_batch& batch);

/// The route of one of its items; null if the current configuration has none.
[[nodiscard]] const route* route_of_item(const live_batch& batch, const batch_item& item);

/// Whether an item may be given up for what the configuration says: its result is stored and can't
/// be taken back. The known configuration must include all changes made before this host knew the
/// batch, and not be too old to refuse a request.
[[nodiscard]] bool may_give_up_by_configuration(const live_batch& batch);

/// Whether its items and their scoring calls may be sent to targets.
[[nodiscard]] bool may_send_items(const live_batch& batch);

/// When the results of the batch are due.
[[nodiscard]] time_point deadline_of(const live_batch& batch);

} // namespace cornelloom::front
