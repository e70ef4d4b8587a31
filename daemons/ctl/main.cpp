#include "burdockspur/operations/controlprogram.hpp"

#include <QCoreApplication>

#include <iostream>

using namespace Burdockspur;

auto main(int argc, char **argv) -> int
{
    const QCoreApplication application(argc, argv);
    const auto summary = ControlProgram::commandHelp();
    const ProgramDescription description{"burdockspurctl", "COMMAND --entry ADDRESS:PORT [FLAGS]", summary, controlFlags()};
    return runControlProgram(description, std::span(argv, static_cast<std::size_t>(argc)), std::cout, std::cerr);
}
