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

/// An item that is at a target now.
struct item_run {
    std::shared_ptr<loop::exchange> link;
    std::string target;
    time_point sent{};
    time_point first_event{}; ///< Zero before the first.
    time_point last_event{};  ///< When the newest event came; `sent` before the first.
    std::int64_t events = 0;  ///< In this run.
    bool moving = false;      ///< It was told to stop, to go on elsewhere.
};

/// A batch with all that goes on around it in this process.
struct live_batch {
    live_batch(std::shared_ptr<host> owner, batch known)
        : self(std::move(owner)), state(std::move(known)), changed(self->io) {}

    std::shared_ptr<host> self;
    batch state;
    loop::gate changed;        ///< Opened when results are listed, runs end or the owner changes.
    bool owned = false;        ///< This process runs its items.
    bool stored = true;        ///< False while another host stores it and this one runs it already.
    bool handing_over = false; ///< Its runs are stopped; another host goes on with them.
    bool appending = false;    ///< An entry of its log is being written.
    std::map<std::size_t, item_run> runs{};                          ///< By the item's index.
    std::map<std::size_t, std::shared_ptr<call_control>> scorings{}; ///< By the item's index.
    time_point used{};        ///< When a caller last asked for it.
    log_knowledge log{};      ///< How much is known of what others have appended.
    bool reading_log = false; ///< The drive reads the log.
    bool held = false;        ///< No item is sent: the log may be longer than known.
};

using live_batch_ptr = std::shared_ptr<live_batch>;

/// The route that the batch came in on, or null when the configuration has none now.
[[nodiscard]] const route* route_of(const live_batch& one);

/// The same for one of its items.
[[nodiscard]] const route* route_of_item(const live_batch& one, const batch_item& item);

/// Whether its items, and the calls that give their scores, may be sent to targets.
[[nodiscard]] bool may_send_items(const live_batch& one);

/// When the results of the batch are due.
[[nodiscard]] time_point deadline_of(const live_batch& one);

} // namespace cornelloom::front
