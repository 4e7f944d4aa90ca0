#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace dogwoodvalve {

/// Metrics without labels, or the family of a counter with labels.
inline prometheus::Family<prometheus::Counter> &
buildCounterFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

inline prometheus::Gauge &buildGauge(prometheus::Registry &registry, const char *name,
                                     const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/// Bounds in seconds.
inline prometheus::Histogram &buildHistogram(prometheus::Registry &registry, const char *name,
                                             const char *help,
                                             const prometheus::Histogram::BucketBoundaries &bounds)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

} // namespace dogwoodvalve
