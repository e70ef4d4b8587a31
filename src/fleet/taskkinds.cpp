#include "burdockspur/fleet/taskkinds.hpp"

#include "burdockspur/contract/taskjob.hpp"

namespace Burdockspur
{
auto TaskKind::isNoStricterThan(const TaskKind &other) const noexcept -> bool
{
    // Filling tasks of another image may interfere less, and serving tasks may also use untrusted workers.
    const bool isAlike = m_isFilling == other.m_isFilling && (!other.m_isFilling || m_image == other.m_image) && (m_isServing || !other.m_isServing);
    return isAlike && m_pool == other.m_pool && m_requiredLabel == other.m_requiredLabel;
}

auto TaskKinds::numberOf(std::string_view pool, const TaskStep &step) -> std::size_t
{
    // The image decides only for filling tasks which workers can accept them.
    const std::string_view image = step.m_isFilling ? std::string_view(step.m_image) : std::string_view();
    std::string key;
    for (const auto text : {pool, std::string_view(step.m_requiredLabel), image}) {
        key.append(std::to_string(text.size())).append(":").append(text);
    }
    key.append(step.m_isServing ? "s" : "-").append(step.m_isFilling ? "f" : "-");
    const auto [entry, isNew] = m_numbers.try_emplace(std::move(key), m_kinds.size());
    if (isNew) {
        m_kinds.push_back({std::string(pool), step.m_requiredLabel, std::string(image), step.m_isServing, step.m_isFilling});
    }
    return entry->second;
}

auto TaskKinds::clear() noexcept -> void
{
    m_kinds.clear();
    m_numbers.clear();
}
}
