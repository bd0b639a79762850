#include "coord/internal/membership_wire.hpp"

#include <msgpack.hpp>

#include <stdexcept>

namespace cornelloom::coord::internal {

namespace {

/// The first element of each datagram; grows when the form changes.
constexpr std::uint64_t wire_version = 1;
/// Bytes kept free for the lengths of the two lists.
constexpr std::size_t list_overhead = 6;
constexpr std::size_t header_fields = 9;
constexpr std::size_t message_fields = 3;

using packer = msgpack::packer<msgpack::sbuffer>;

template <class Fill> std::string pack(Fill fill) {
    msgpack::sbuffer buffer;
    packer into(buffer);
    fill(into);
    return {buffer.data(), buffer.size()};
}

std::string pack_list_head(std::size_t count) {
    return pack([&](packer& into) { into.pack_array(static_cast<std::uint32_t>(count)); });
}

/// Reads the elements of an array in order, with a check of number and type.
class reader {
public:
    explicit reader(const msgpack::object& value) : value_(value) {
        if (value.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
    }

    [[nodiscard]] std::uint32_t size() const { return value_.via.array.size; }

    const msgpack::object& next() {
        if (index_ >= size()) {
            throw msgpack::type_error();
        }
        return value_.via.array.ptr[index_++];
    }

    template <class T> T get() { return next().as<T>(); }

    template <class Enum> Enum get_enum(Enum last) {
        const auto number = get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(last)) {
            throw msgpack::type_error();
        }
        return static_cast<Enum>(number);
    }

private:
    const msgpack::object& value_;
    std::uint32_t index_ = 0;
};

std::string encode_delta(const member_delta& delta) {
    return pack([&](packer& into) {
        const auto head = [&](std::uint32_t fields) {
            into.pack_array(fields);
            into.pack(static_cast<std::uint64_t>(delta.kind));
            into.pack(delta.info.id.str());
            into.pack(delta.incarnation);
        };
        if (delta.kind == delta_kind::generation) {
            head(4);
            into.pack(delta.generation);
            return;
        }
        if (delta.kind == delta_kind::state) {
            head(5);
            into.pack(static_cast<std::uint64_t>(delta.state));
            into.pack(delta.accuser.str());
            return;
        }
        head(10);
        into.pack(static_cast<std::uint64_t>(delta.state));
        into.pack(delta.leaving);
        into.pack(delta.generation);
        into.pack(delta.info.zone.str());
        into.pack(delta.info.region.str());
        into.pack(delta.info.gossip_address);
        into.pack(delta.info.service_address);
    });
}

std::string encode_item(const gossip_item& item) {
    return pack([&](packer& into) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(item.expires_in).count();
        into.pack_array(5);
        into.pack(item.kind);
        into.pack(item.name);
        into.pack(item.version);
        into.pack(static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
        into.pack(item.payload);
    });
}

std::string encode_header(const message_header& header) {
    return pack([&](packer& into) {
        into.pack_array(message_fields);
        into.pack_array(header_fields);
        into.pack(wire_version);
        into.pack(static_cast<std::uint64_t>(header.kind));
        into.pack(header.sequence);
        into.pack(header.sender.str());
        into.pack(header.configuration.generation);
        into.pack(header.configuration.set_digest);
        into.pack(header.table_hash);
        into.pack(header.subject.str());
        into.pack(header.subject_address);
    });
}

message_header decode_header(reader in) {
    if (in.get<std::uint64_t>() != wire_version) {
        throw std::invalid_argument("another version of the gossip form");
    }
    message_header header;
    header.kind = in.get_enum(message_kind::sync_request);
    header.sequence = in.get<std::uint64_t>();
    header.sender = kernel::host_id{in.get<std::string>()};
    header.configuration.generation = in.get<std::uint64_t>();
    header.configuration.set_digest = in.get<std::string>();
    header.table_hash = in.get<std::uint64_t>();
    header.subject = kernel::host_id{in.get<std::string>()};
    header.subject_address = in.get<std::string>();
    if (header.sender.empty()) {
        throw std::invalid_argument("no sender");
    }
    return header;
}

member_delta decode_delta(reader in) {
    member_delta delta;
    delta.kind = in.get_enum(delta_kind::generation);
    delta.info.id = kernel::host_id{in.get<std::string>()};
    delta.incarnation = in.get<std::uint64_t>();
    if (delta.kind == delta_kind::generation) {
        delta.generation = in.get<std::uint64_t>();
        return delta;
    }
    delta.state = in.get_enum(member_state::left);
    if (delta.kind == delta_kind::state) {
        delta.accuser = kernel::host_id{in.get<std::string>()};
        return delta;
    }
    delta.leaving = in.get<bool>();
    delta.generation = in.get<std::uint64_t>();
    delta.info.zone = kernel::zone_id{in.get<std::string>()};
    delta.info.region = kernel::region_id{in.get<std::string>()};
    delta.info.gossip_address = in.get<std::string>();
    delta.info.service_address = in.get<std::string>();
    return delta;
}

gossip_item decode_item(reader in) {
    constexpr std::uint64_t longest_life_ms = 7ULL * 24 * 3600 * 1000;
    gossip_item item;
    item.kind = in.get<std::string>();
    item.name = in.get<std::string>();
    item.version = in.get<std::uint64_t>();
    item.expires_in = std::chrono::milliseconds{std::min(in.get<std::uint64_t>(), longest_life_ms)};
    item.payload = in.get<std::string>();
    return item;
}

} // namespace

message_writer::message_writer(const message_header& header, std::size_t limit)
    : header_(encode_header(header)), limit_(limit) {}

bool message_writer::take(std::string& into, std::size_t& count, std::string_view fragment) {
    const auto used = header_.size() + members_.size() + items_.size() + list_overhead;
    if (used + fragment.size() > limit_) {
        return false;
    }
    into += fragment;
    ++count;
    return true;
}

bool message_writer::add(const member_delta& delta) {
    return take(members_, member_count_, encode_delta(delta));
}

bool message_writer::add(const gossip_item& item) {
    return take(items_, item_count_, encode_item(item));
}

std::string message_writer::finish() const {
    return header_ + pack_list_head(member_count_) + members_ + pack_list_head(item_count_) +
           items_;
}

kernel::result<message> decode_message(std::string_view bytes) {
    try {
        // Bounds on nesting and sizes keep a hostile datagram from asking for much memory.
        const msgpack::unpack_limit limit(1024, 0, 4096, 4096, 0, 4);
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return kernel::error{kernel::error_code::invalid_input, "bytes after the message"};
        }
        reader in(handle.get());
        message decoded;
        decoded.header = decode_header(reader(in.next()));
        reader members(in.next());
        for (std::uint32_t i = 0; i < members.size(); ++i) {
            decoded.members.push_back(decode_delta(reader(members.next())));
        }
        reader items(in.next());
        for (std::uint32_t i = 0; i < items.size(); ++i) {
            decoded.items.push_back(decode_item(reader(items.next())));
        }
        return decoded;
    } catch (const std::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

} // namespace cornelloom::coord::internal
