#include "kernel/run_guarded.hpp"
#include "transport/internal/peer_call.hpp"
#include "transport/internal/peer_link.hpp"
#include "transport/peer_stream.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <thread>

namespace cornelloom::transport {

namespace asio = boost::asio;
using internal::peer_call;
using internal::peer_link;

struct peer_client::state {
    explicit state(const peer_settings& wanted) : settings(wanted) {}

    void carry(const std::shared_ptr<peer_call>& call) {
        auto& link = links[call->to];
        if (!link || !link->usable()) {
            link = std::make_shared<peer_link>(loop, call->to, settings);
            link->start();
        }
        link->carry(call);
    }

    void give_up(const peer_call& call) {
        const auto found = links.find(call.to);
        if (found != links.end()) {
            found->second->give_up(call);
        }
    }

    void stop() {
        for (const auto& [to, link] : std::exchange(links, {})) {
            link->end(true);
        }
        work.reset();
    }

    peer_settings settings;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{loop.get_executor()};
    std::map<endpoint, std::shared_ptr<peer_link>> links; ///< Used by the loop's thread.
    std::thread runner;
};

peer_client::peer_client(const peer_settings& settings)
    : state_(std::make_unique<state>(settings)) {
    state_->runner = std::thread([s = state_.get()] {
        while (!kernel::run_guarded("peer client", [s] { s->loop.run(); })) {
        }
    });
}

peer_client::~peer_client() {
    asio::post(state_->loop, [s = state_.get()] { s->stop(); });
    state_->runner.join();
}

kernel::result<peer_reply> peer_client::call(const endpoint& to, const std::string& path,
                                             const std::string& body, kernel::duration timeout) {
    boost::system::error_code bad;
    const auto address = asio::ip::make_address(to.address, bad);
    if (bad || address.is_unspecified() || !path.starts_with('/')) {
        return kernel::error{kernel::error_code::invalid_input, to_string(to) + path};
    }
    if (body.size() > state_->settings.max_body_bytes) {
        return kernel::error{kernel::error_code::too_large, to_string(to) + path};
    }
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto call = std::make_shared<peer_call>(to, path, body);
    asio::post(state_->loop, [s = state_.get(), call] { s->carry(call); });
    if (!call->wait(deadline)) {
        asio::post(state_->loop, [s = state_.get(), call] { s->give_up(*call); });
    }
    return call->take();
}

} // namespace cornelloom::transport
