#include "burdockspur/contract/taskid.hpp"

#include <array>
#include <charconv>

namespace Burdockspur
{
auto TaskId::text() const -> std::string
{
    constexpr std::size_t numberBytes = 11;
    std::string name;
    name.reserve(m_job.size() + 3 * numberBytes);
    name.append(m_job);
    for (const auto number : {m_occurrence, m_step, m_index}) {
        std::array<char, numberBytes> digits{};
        const auto *const end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        name.append(1, '.').append(digits.data(), static_cast<std::size_t>(end - digits.data()));
    }
    return name;
}

auto TaskId::parse(std::string_view text) -> std::optional<TaskId>
{
    std::array<std::uint32_t, 3> numbers{};
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    TaskId id;
    id.m_job = text.substr(0, dot);
    const char *next = text.data() + dot;
    const char *const end = text.data() + text.size();
    for (auto &number : numbers) {
        if (next == end || *next != '.') {
            return std::nullopt;
        }
        const auto [rest, error] = std::from_chars(next + 1, end, number);
        if (error != std::errc()) {
            return std::nullopt;
        }
        next = rest;
    }
    if (next != end) {
        return std::nullopt;
    }
    id.m_occurrence = numbers[0];
    id.m_step = numbers[1];
    id.m_index = numbers[2];
    return id;
}
}
