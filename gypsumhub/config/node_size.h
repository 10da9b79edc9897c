#pragma once

namespace gypsumhub {

/// Processing and network capacity of a node, or of a group of nodes together.
struct node_size {
    /// Processor cores.
    double cores { 0 };
    /// Network link, each way, in Mbit/s.
    double linkMegabits { 0 };

    auto operator+=(const node_size& other) -> node_size&
    {
        cores += other.cores;
        linkMegabits += other.linkMegabits;
        return *this;
    }

    /// Whether neither the cores nor the link are below those of `goal`.
    auto covers(const node_size& goal) const -> bool { return cores >= goal.cores && linkMegabits >= goal.linkMegabits; }
};

} // namespace gypsumhub
