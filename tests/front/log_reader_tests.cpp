#include "front/log_reader.hpp"

#include "loop/gate.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::front;

namespace {

/// A store that holds its answers, if it is told to, until the next round.
struct held_store {
    explicit held_store(loop::io_context& loop) : next_round(loop) {}

    std::uint64_t entries = 0;
    std::set<std::uint64_t> unavailable{};
    std::vector<std::uint64_t> asked{};
    bool holds = false;
    int round = 0;
    loop::gate next_round;
};

loop::task<read_entry_result> read_held(held_store& store, std::uint64_t number) {
    store.asked.push_back(number);
    const int asked_in = store.round;
    while (store.holds && store.round == asked_in) {
        co_await store.next_round.wait(loop::deadline::max());
    }
    read_entry_result out;
    if (store.unavailable.contains(number)) {
        co_return out;
    }
    out.what = number < store.entries ? log_read::entry : log_read::end;
    out.entry.nonce = number;
    co_return out;
}

struct played_read {
    std::vector<std::uint64_t> taken{};
    std::optional<log_read> end{};
};

loop::task<void> play(loop::io_context& io, held_store& store, std::uint64_t from,
                      std::size_t at_once, played_read& out) {
    const entry_reader read = [&store](std::uint64_t number) { return read_held(store, number); };
    const entry_taker take = [&out](std::uint64_t number, const log_entry& entry) {
        CHECK(entry.nonce == number);
        out.taken.push_back(number);
    };
    out.end = co_await read_log(io, from, at_once, read, take);
}

void start(loop::io_context& io, held_store& store, std::uint64_t from, std::size_t at_once,
           played_read& out) {
    loop::asio::co_spawn(io, play(io, store, from, at_once, out), loop::asio::detached);
}

} // namespace

TEST_CASE("a log of many entries takes few round trips to the store", "[front][log]") {
    // Guards against a batch that can't be read once its owner is lost: each host that was asked
    // read its ten entries one after the other, for longer than the reader waited.
    loop::io_context io;
    held_store store(io);
    store.entries = 10;
    store.holds = true;
    played_read read;
    start(io, store, 0, entries_at_once, read);
    io.poll();
    while (!read.end && store.round < 10) {
        ++store.round;
        store.next_round.open();
        io.poll();
    }
    CHECK(read.taken.size() == 10);
    CHECK(store.round == 2);
}

TEST_CASE("entries are taken in their order, up to the first that is not there", "[front][log]") {
    loop::io_context io;
    held_store store(io);
    store.entries = 11;
    played_read read;
    SECTION("all at once") {
        start(io, store, 3, 20, read);
        io.poll();
        CHECK(read.taken == std::vector<std::uint64_t>{3, 4, 5, 6, 7, 8, 9, 10});
        CHECK(read.end == log_read::end);
    }
    SECTION("one by one, which asks for one that is not there") {
        start(io, store, 9, 1, read);
        io.poll();
        CHECK(read.taken == std::vector<std::uint64_t>{9, 10});
        CHECK(store.asked == std::vector<std::uint64_t>{9, 10, 11});
    }
}

TEST_CASE("a log of which an entry can't be read is not taken for whole", "[front][log]") {
    // Guards against a batch that goes on behind a gap: its later entries, an end among them, would
    // be lost.
    loop::io_context io;
    held_store store(io);
    store.entries = 10;
    store.unavailable = {4};
    played_read read;
    start(io, store, 0, entries_at_once, read);
    io.poll();
    CHECK(read.taken == std::vector<std::uint64_t>{0, 1, 2, 3});
    CHECK(read.end == log_read::unavailable);
}
