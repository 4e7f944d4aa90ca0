#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace dogwoodvalve {

/// Registers a family of counters; add one counter to it for each set of labels.
inline prometheus::Family<prometheus::Counter> &
buildCounterFamily(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

/// Registers a gauge without labels.
inline prometheus::Gauge &buildGauge(prometheus::Registry &registry, const char *name,
                                     const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/// Registers a histogram without labels. `bounds` are the upper bounds of the buckets in seconds.
inline prometheus::Histogram &buildHistogram(prometheus::Registry &registry, const char *name,
                                             const char *help,
                                             const prometheus::Histogram::BucketBoundaries &bounds)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

} // namespace dogwoodvalve
