#pragma once

namespace gypsumhub {

/// What a node, or a group of nodes, can bear.
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

    /// Whether this is at least as much as `goal` in every respect.
    auto covers(const node_size& goal) const -> bool { return cores >= goal.cores && linkMegabits >= goal.linkMegabits; }
};

} // namespace gypsumhub
