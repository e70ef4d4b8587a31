#include "burdockspur/fleet/archivecalls.hpp"

#include <utility>
#include <variant>

namespace Burdockspur
{
ArchiveCalls::ArchiveCalls(ChangeStore &store, Milliseconds retention, Listener listener)
    : m_store(store)
    , m_listener(std::move(listener))
    , m_archive(retention)
    , m_alive(std::make_shared<bool>(true))
{
}

ArchiveCalls::~ArchiveCalls()
{
    *m_alive = false;
}

auto ArchiveCalls::begin() -> void
{
    m_archive.begin(m_listener.m_now());
    tick(++m_generation);
}

auto ArchiveCalls::end() -> void
{
    ++m_generation;
    m_archive.end();
}

auto ArchiveCalls::add(std::span<const FinalJob> jobs) -> void
{
    const auto wallNow = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    m_archive.add(jobs, m_listener.m_now(), wallNow);
}

auto ArchiveCalls::tick(std::uint64_t generation) -> void
{
    if (generation != m_generation) {
        return;
    }
    for (const auto &due : m_archive.advance(m_listener.m_now())) {
        std::visit(
            [this](const auto &content) {
                call(content);
            },
            due);
    }
    m_listener.m_runLater(JobArchive::interval, [this, alive = m_alive, generation] {
        if (*alive) {
            tick(generation);
        }
    });
}

auto ArchiveCalls::call(const ArchiveWrite &write) -> void
{
    m_store.commit(write.m_transaction, [this, alive = m_alive, number = write.m_number](CommitResult &&result) {
        if (!*alive) {
            return;
        }
        if (auto moved = m_archive.handleAnswer(number, result, m_listener.m_now()); !moved.empty()) {
            m_listener.m_archived(std::move(moved));
        }
    });
}

auto ArchiveCalls::call(const ArchiveRead &read) -> void
{
    m_store.list(FleetTables::final, read.m_partition, read.m_after, read.m_limit, [this, alive = m_alive, number = read.m_number](Result<RowPage> &&page) {
        if (*alive) {
            m_archive.handleAnswer(number, page, m_listener.m_now());
        }
    });
}
}
