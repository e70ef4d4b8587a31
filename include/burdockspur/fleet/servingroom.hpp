#pragma once

#include "burdockspur/fleet/pressuremodel.hpp"

namespace Burdockspur
{
/// @brief What the serving tasks of one image on a worker can still bear.
struct ServingRoom {
    ImageId m_image = 0;
    double m_headroom = 0; ///< lowest that is expected of them beside what fills there now, all at full pace
};
}
