#pragma once

#include <QJsonObject>

#include <ostream>

namespace Burdockspur
{
/// @brief Prints a JSON object for people.
///
/// Simple members become `name  value` lines, each array of objects a table with one column for each
/// member. Control characters are replaced, because they could change what a terminal shows.
auto printJson(std::ostream &out, const QJsonObject &object) -> void;
}
