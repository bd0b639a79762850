#include "front/batch_desk.hpp"
#include "front/batch_log.hpp"
#include "front/item_run.hpp"
#include "front/key_lookup.hpp"
#include "front/plain_call.hpp"
#include "front/quarantine_store.hpp"
#include "front/routing.hpp"
#include "loop/spawn.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <new>
#include <stdexcept>

using namespace cornelloom::front;
namespace loop = cornelloom::loop;
namespace transport = cornelloom::transport;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

/// An adapter whose functions fail.
adapter failing_adapter() {
    adapter out{};
    out.item = [](const batch_item&, std::string_view,
                  const forward_options&) -> transport::http_request {
        throw std::runtime_error("can't encode the item");
    };
    out.list = [](object_kind, std::string_view, bool) -> store_request {
        throw std::runtime_error("can't encode the call");
    };
    out.get = [](object_kind, std::string_view, bool) -> store_request {
        throw std::runtime_error("can't encode the call");
    };
    out.create = [](object_kind, std::string_view, std::string_view) -> store_request {
        throw std::runtime_error("can't encode the object");
    };
    return out;
}

route test_route() {
    route out;
    out.host = "lots.example";
    out.path_prefix = "/";
    out.services = {{"lots", 1}};
    out.attempts = 3;
    out.retention = 1h;
    return out;
}

template <class T> loop::task<void> keep_result(loop::task<T> work, std::optional<T>& out) {
    out.emplace(co_await std::move(work));
}

/// A host with one target, which accepts connections.
struct one_target {
    loop::io_context io{};
    adapter platform = failing_adapter();
    tcp::acceptor target_port{io, tcp::endpoint(boost::asio::ip::make_address("127.70.1.1"), 0)};
    std::shared_ptr<host> self{};

    one_target() {
        host_settings settings;
        settings.host = "h1";
        settings.zone = "z1";
        settings.region_of_zone = {{"z1", "r1"}};
        self = std::make_shared<host>(io, platform, settings);
        configuration config;
        config.version = 1;
        config.routes = {test_route()};
        self->routes = index_routes(std::move(config));
        auto& target = self->targets.by_id["t1"];
        target.entry.id = "t1";
        target.entry.service = "lots";
        target.entry.zone = "z1";
        target.entry.slots = 4;
        target.entry.address = {"127.70.1.1", target_port.local_endpoint().port()};
    }

    target_state& target() { return self->targets.by_id.at("t1"); }

    template <class T> std::optional<T> result_of(loop::task<T> work, milliseconds limit) {
        std::optional<T> out;
        loop::spawn(io, "test", keep_result(std::move(work), out));
        io.restart();
        const auto until = loop::after(limit);
        while (!out && loop::steady_clock::now() < until) {
            io.run_one_until(until);
        }
        return out;
    }

    void run_for(milliseconds time) {
        io.restart();
        io.run_for(time);
    }
};

loop::task<int> wait_for(loop::task<void> work) {
    try {
        co_await std::move(work);
    } catch (const std::exception&) {
        co_return 1;
    }
    co_return 0;
}

std::shared_ptr<live_batch> batch_with_item(const std::shared_ptr<host>& self) {
    batch_spec spec;
    spec.items.resize(1);
    spec.items[0].id = "i1";
    spec.items[0].path = "/texts/i1";
    batch_header header;
    header.id = "b1";
    header.host = "lots.example";
    header.path = "/batches/";
    return std::make_shared<live_batch>(
        self, make_batch(std::move(header), std::move(spec), self->now()));
}

/// As the dispatcher starts it.
void start_item(one_target& world, const live_batch_ptr& batch) {
    batch->owned = true;
    batch->state.items[0].phase = item_phase::running;
    ++world.target().running;
    ++world.target().awaiting_first_event;
    loop::spawn(world.io, "run item", run_item(batch, 0, "t1"));
}

} // namespace

TEST_CASE("a plain call whose attempt fails by an error of the host ends before its deadline",
          "[front][errors]") {
    // Guards against calls that wait for an attempt that is gone, and slots that stay taken.
    one_target world;
    plain_call call;
    call.id = "c1";
    call.service = "lots";
    call.deadline = world.self->now() + 5s;
    call.build_request = [](const forward_options&) -> transport::http_request {
        throw std::bad_alloc();
    };
    const auto outcome = world.result_of(
        run_plain_call(world.self, std::move(call), std::make_shared<call_control>()), 2s);
    REQUIRE(outcome);
    CHECK(outcome->result != plain_outcome::state::answered);
    CHECK(world.target().running == 0);
    CHECK(world.self->crashes.runs.empty());
    CHECK(world.target().consecutive_failures == 0);
}

TEST_CASE("an item whose run fails by an error of the host is sent again and never given up",
          "[front][errors]") {
    // Guards against items that stay in progress for ever at no target, or are given up although no
    // target failed.
    one_target world;
    const auto batch = batch_with_item(world.self);
    for (int attempt = 0; attempt <= test_route().attempts; ++attempt) {
        start_item(world, batch);
        world.run_for(100ms);
        CHECK(world.target().running == 0);
        CHECK(world.target().awaiting_first_event == 0);
        CHECK(world.self->crashes.runs.empty());
        CHECK(batch->runs.empty());
        CHECK(batch->state.items[0].failures == 0);
        CHECK(batch->state.items[0].phase == item_phase::waiting);
    }
}

TEST_CASE("an item is not given up for want of memory", "[front][errors]") {
    // Guards against samples that are lost because a host was short of memory for a moment.
    one_target world;
    world.platform.item = [](const batch_item&, std::string_view,
                             const forward_options&) -> transport::http_request {
        throw std::bad_alloc();
    };
    const auto batch = batch_with_item(world.self);
    start_item(world, batch);
    world.run_for(100ms);
    CHECK(batch->state.items[0].phase == item_phase::waiting);
    CHECK(batch->state.items[0].failures == 0);
    CHECK(world.target().running == 0);
}

TEST_CASE("requests don't wait for a lookup of a key that failed by an error", "[front][errors]") {
    // Guards against a lookup that no one ends: no key would be looked up again.
    one_target world;
    const auto started = loop::steady_clock::now();
    CHECK(world.result_of(wait_for(look_up_configuration(world.self)), 2s));
    CHECK(loop::steady_clock::now() - started < 100ms);
    CHECK_FALSE(world.self->key_lookup);
}

TEST_CASE("the log of a batch is written again after an error", "[front][errors]") {
    // Guards against a batch whose results are never stored because a write seems to be going on.
    one_target world;
    const auto batch = batch_with_item(world.self);
    const auto fail = [](const live_batch&) -> std::optional<log_entry> { throw std::bad_alloc(); };
    loop::spawn(world.io, "write",
                loop::ignore_result(append_entry(batch, fail, world.self->now() + 1s)));
    world.run_for(50ms);
    CHECK_FALSE(batch->appending);
}

TEST_CASE("quarantines are stored again after an error", "[front][errors]") {
    // Guards against trial runs that wait for ever for a write that has failed.
    one_target world;
    world.self->crashes.stored.was_read = true;
    world.self->crashes.store_at = world.self->now();
    start_quarantine_store(world.self);
    world.run_for(100ms);
    CHECK_FALSE(world.self->crashes.stored.being_written);
    CHECK(world.self->crashes.store_at);
}

TEST_CASE("calls on a batch don't wait for a load that failed by an error", "[front][errors]") {
    // Guards against callers that wait for ever for a batch that no one loads.
    one_target world;
    const auto registry = std::make_shared<batch_registry>(world.self);
    loop::spawn(world.io, "load", loop::ignore_result(get_batch(registry, "b1")));
    world.run_for(50ms);
    CHECK(registry->loading.empty());
}
