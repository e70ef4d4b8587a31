#pragma once

#include <QJsonObject>

#include <ostream>

namespace Burdockspur
{
/// @brief Prints a JSON object in a form for people to read.
///
/// Simple members become `name  value` lines; each array of objects becomes a table with one column for each member.
/// Control characters are replaced by spaces, because a terminal could interpret them.
auto printJson(std::ostream &out, const QJsonObject &object) -> void;
}
