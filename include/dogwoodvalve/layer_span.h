#pragma once

namespace dogwoodvalve {

/// A half-open range [first, end) of consecutive model layers that a server holds or runs. It may
/// be empty, unlike the LayerRange of a configured stage.
struct LayerSpan
{
    int first = 0;
    int end = 0;

    int size() const { return end - first; }
    bool empty() const { return end <= first; }
    bool contains(int layer) const { return first <= layer && layer < end; }
    bool operator==(const LayerSpan &other) const = default;
};

} // namespace dogwoodvalve
