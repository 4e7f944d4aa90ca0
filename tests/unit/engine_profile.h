#pragma once

#include <dogwoodvalve/fleet_configuration.h>

namespace dogwoodvalve {

/// A pool of three kinds of accelerators. The slowest is nearly seven times slower than the
/// fastest, and none has enough memory for the whole model.
inline EngineProfile mixedProfile()
{
    EngineProfile profile;
    profile.layers = 80;
    profile.layerMb = 1750;
    profile.kvCacheBytesPerToken = 918'000;
    profile.stepMs = 1;
    profile.prefillTokensPerMs = 100;
    profile.stepsPerPass = 3;
    profile.kinds = {
        {"large", 72'000, 2.4, 3.2}, {"medium", 43'200, 5.6, 2.7}, {"small", 21'600, 16, 8.2}};
    return profile;
}

} // namespace dogwoodvalve
