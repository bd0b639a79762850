#include "front/log_reader.hpp"

#include "loop/gate.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::front;

namespace {

/// A fake store. If `delays_answers` is set, it answers only in the next round.
struct fake_store {
    explicit fake_store(loop::io_context& loop) : next_round(loop) {}

    std::uint64_t entries = 0;
    std::set<std::uint64_t> unavailable{};
    std::vector<std::uint64_t> requested{};
    bool delays_answers = false;
    int round = 0;
    loop::gate next_round;
};

loop::task<read_entry_result> read_fake_entry(fake_store& store, std::uint64_t number) {
    store.requested.push_back(number);
    const int requested_in = store.round;
    while (store.delays_answers && store.round == requested_in) {
        co_await store.next_round.wait(loop::deadline::max());
    }
    read_entry_result out;
    if (store.unavailable.contains(number)) {
        co_return out;
    }
    out.status = number < store.entries ? log_read_status::entry : log_read_status::end;
    out.entry.nonce = number;
    co_return out;
}

struct read_outcome {
    std::vector<std::uint64_t> handled{};
    std::optional<log_read_status> end{};
};

loop::task<void> run_read(loop::io_context& io, fake_store& store, std::uint64_t from,
                          std::size_t concurrency, read_outcome& out) {
    const entry_reader read = [&store](std::uint64_t number) {
        return read_fake_entry(store, number);
    };
    const entry_handler handle = [&out](std::uint64_t number, const log_entry& entry) {
        CHECK(entry.nonce == number);
        out.handled.push_back(number);
    };
    out.end = co_await read_log(io, from, concurrency, read, handle);
}

void spawn_read(loop::io_context& io, fake_store& store, std::uint64_t from,
                std::size_t concurrency, read_outcome& out) {
    loop::asio::co_spawn(io, run_read(io, store, from, concurrency, out), loop::asio::detached);
}

} // namespace

TEST_CASE("a log of many entries is read in few round trips to the store", "[front][log]") {
    // Guards against a batch that becomes unreadable when its owner is lost, because each host that
    // is asked reads its ten entries one after the other, which takes longer than the caller waits.
    loop::io_context io;
    fake_store store(io);
    store.entries = 10;
    store.delays_answers = true;
    read_outcome read;
    spawn_read(io, store, 0, parallel_entry_reads, read);
    io.poll();
    while (!read.end && store.round < 10) {
        ++store.round;
        store.next_round.open();
        io.poll();
    }
    CHECK(read.handled.size() == 10);
    CHECK(store.round == 2);
}

TEST_CASE("entries are handled in order, up to the first that does not exist", "[front][log]") {
    loop::io_context io;
    fake_store store(io);
    store.entries = 11;
    read_outcome read;
    SECTION("all in parallel") {
        spawn_read(io, store, 3, 20, read);
        io.poll();
        CHECK(read.handled == std::vector<std::uint64_t>{3, 4, 5, 6, 7, 8, 9, 10});
        CHECK(read.end == log_read_status::end);
    }
    SECTION("one by one, with a read of the first that does not exist") {
        spawn_read(io, store, 9, 1, read);
        io.poll();
        CHECK(read.handled == std::vector<std::uint64_t>{9, 10});
        CHECK(store.requested == std::vector<std::uint64_t>{9, 10, 11});
    }
}

TEST_CASE("a log with an unreadable entry does not count as complete", "[front][log]") {
    // Guards against a batch that continues after a gap in its log. Later entries, such as the
    // caller's end, would be lost.
    loop::io_context io;
    fake_store store(io);
    store.entries = 10;
    store.unavailable = {4};
    read_outcome read;
    spawn_read(io, store, 0, parallel_entry_reads, read);
    io.poll();
    CHECK(read.handled == std::vector<std::uint64_t>{0, 1, 2, 3});
    CHECK(read.end == log_read_status::unavailable);
}
