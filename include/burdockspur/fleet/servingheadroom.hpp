#pragma once

#include "burdockspur/fleet/fillinterferencemodel.hpp"

namespace Burdockspur
{
/// @brief Headroom of the serving tasks of one image on a worker.
struct ServingHeadroom {
    ImageId m_image = 0;
    double m_headroom = 0; ///< lowest expected one, with all filling tasks of the worker at full pace
};
}
