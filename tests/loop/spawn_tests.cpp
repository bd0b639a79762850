#include "kernel/failures.hpp"
#include "loop/spawn.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace cornelloom;
using namespace std::chrono_literals;

namespace {

std::uint64_t failures_of(const std::string& task) {
    const auto counts = kernel::failure_counts();
    const auto found = counts.find(task);
    return found == counts.end() ? 0 : found->second;
}

loop::task<void> fail_after(loop::io_context& io, loop::milliseconds delay) {
    co_await loop::pause_for(io, delay);
    throw std::runtime_error("odd entry");
}

} // namespace

TEST_CASE("an error that leaves a spawned task is counted and ends nothing else", "[loop][spawn]") {
    // Guards against duties that end without a trace.
    loop::io_context io;
    bool other_ended = false;
    loop::spawn(io, "failing task", fail_after(io, 1ms));
    loop::spawn(io, "other task", [](loop::io_context& loop, bool& ended) -> loop::task<void> {
        co_await loop::pause_for(loop, 20ms);
        ended = true;
    }(io, other_ended));
    loop::run(io);
    CHECK(failures_of("failing task") == 1);
    CHECK(failures_of("other task") == 0);
    CHECK(other_ended);
}

TEST_CASE("a task that is to go on is started again, whether it fails or just ends",
          "[loop][spawn]") {
    // Guards against a watch that is dead for good after one odd entry.
    loop::io_context io;
    const bool throws = GENERATE(false, true);
    const std::string name = throws ? "kept task that fails" : "kept task that ends";
    int starts = 0;
    loop::keep_running(io, name, [&]() -> loop::task<void> {
        if (++starts == 3) {
            io.stop();
        }
        if (throws) {
            throw std::runtime_error("odd entry");
        }
        co_return;
    });
    loop::run(io);
    CHECK(starts == 3);
    CHECK(failures_of(name) >= 2);
}

TEST_CASE("an error that leaves a handler does not end the loop", "[loop][spawn]") {
    // Guards against a process that is ended by an error in a completion handler.
    loop::io_context io;
    bool later = false;
    const auto before = failures_of("event handler");
    loop::asio::post(io, [] { throw std::runtime_error("odd answer"); });
    loop::asio::post(io, [&later] { later = true; });
    loop::run(io);
    CHECK(later);
    CHECK(failures_of("event handler") == before + 1);
}
