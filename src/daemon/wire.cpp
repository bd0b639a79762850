#include "daemon/wire.hpp"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace cornelloom::daemon {

struct wire::state {
    std::string key;
};

std::string read_shared_key(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    constexpr std::size_t least_key_bytes = 16;
    if (key.size() < least_key_bytes) {
        throw std::runtime_error("shared key file " + file +
                                 ": cannot be read, or has fewer than 16 bytes");
    }
    return key;
}

wire::wire(context& shared) : state_(std::make_unique<state>()) {
    state_->key = read_shared_key(shared.settings.shared_key_file);
}

wire::~wire() = default;

void wire::start(wire_handlers) {}

void wire::stop() {}

void wire::send(std::string_view, std::string_view) {}

kernel::result<peer_reply> wire::call(const std::string& address, const std::string&,
                                      const std::string&, kernel::duration) {
    return kernel::error{kernel::error_code::unavailable, "no link to " + address};
}

} // namespace cornelloom::daemon
