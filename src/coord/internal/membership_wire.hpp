#pragma once

/// The datagrams of gossip as typed messages, and their MessagePack form.

#include "coord/membership.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::coord::internal {

enum class message_kind : std::uint8_t {
    ping,
    ack,
    ping_request, ///< Probe `subject` for me.
    gossip,
    compare,     ///< `table_hash` of the sender; a receiver that differs answers with a sync.
    sync,        ///< A page of everything the sender knows.
    sync_request ///< The last page; the receiver's pages are wanted.
};

/// One delta about a member. `kind` tells which fields are meant.
struct member_delta {
    delta_kind kind = delta_kind::state;
    member_info info; ///< Only `id` unless kind is `member`.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    bool leaving = false;
    std::uint64_t generation = 0;
    kernel::host_id accuser;
};

struct message_header {
    message_kind kind = message_kind::gossip;
    std::uint64_t sequence = 0;
    kernel::host_id sender;
    configuration_hint configuration;
    std::uint64_t table_hash = 0; ///< Only `compare`.
    kernel::host_id subject;      ///< Only `ping_request`.
    std::string subject_address;
};

struct message {
    message_header header;
    std::vector<member_delta> members;
    std::vector<gossip_item> items;
};

/// Assembles a datagram from a header and deltas, within a limit of bytes.
class message_writer {
public:
    message_writer(const message_header& header, std::size_t limit);

    /// False when the delta does not fit any more; it was not added.
    bool add(const member_delta& delta);
    bool add(const gossip_item& item);

    [[nodiscard]] std::string finish() const;

private:
    bool take(std::string& into, std::size_t& count, std::string_view fragment);

    std::string header_;
    std::string members_;
    std::string items_;
    std::size_t member_count_ = 0;
    std::size_t item_count_ = 0;
    std::size_t limit_;
};

/// Damaged bytes give an error, never more.
[[nodiscard]] kernel::result<message> decode_message(std::string_view bytes);

} // namespace cornelloom::coord::internal
