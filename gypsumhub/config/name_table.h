#pragma once

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumhub {

/// An immutable map from name to `Value` for hundreds of thousands of entries, in shards by the hash of the name. A modified copy shares
/// unchanged shards with its original. `NameOf` is the member of `Value` that holds the name. Iteration order is by shard, then by name.
template <typename Value, std::string Value::*NameOf>
class name_table {
public:
    /// What an iterator refers to, with the member names of std::pair as in std::map.
    struct entry {
        const std::string& first;
        const Value& second;
    };

    /// Input iterator over all entries; valid as long as its table.
    class const_iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = entry;
        using difference_type = std::ptrdiff_t;
        using pointer = const entry*;
        using reference = entry;

        auto operator*() const -> entry
        {
            auto& value = (*m_table->m_shards[m_shard])[m_index];
            return { value.*NameOf, value };
        }

        /// Keeps the temporary entry alive until the end of the expression.
        struct arrow {
            entry target;
            auto operator->() const -> const entry* { return &target; }
        };
        auto operator->() const -> arrow { return { **this }; }

        auto operator++() -> const_iterator&
        {
            ++m_index;
            skipEmptyShards();
            return *this;
        }

        auto operator==(const const_iterator&) const -> bool = default;

    private:
        friend class name_table;

        const_iterator(const name_table* table, size_t shard, size_t index)
            : m_table(table)
            , m_shard(shard)
            , m_index(index)
        {
        }

        auto skipEmptyShards() -> void
        {
            while (m_shard < shardCount && m_index >= m_table->shardSize(m_shard)) {
                ++m_shard;
                m_index = 0;
            }
        }

        const name_table* m_table;
        size_t m_shard;
        size_t m_index;
    };

    auto size() const -> size_t { return m_size; }
    auto empty() const -> bool { return m_size == 0; }

    auto begin() const -> const_iterator
    {
        auto first = const_iterator(this, 0, 0);
        first.skipEmptyShards();
        return first;
    }

    auto end() const -> const_iterator { return { this, shardCount, 0 }; }

    /// The entry of `name`, or `end()`.
    auto find(std::string_view name) const -> const_iterator
    {
        auto index = shardOf(name);
        if (!m_shards[index])
            return end();
        auto& shard = *m_shards[index];
        auto found = std::ranges::lower_bound(shard, name, {}, NameOf);
        if (found == shard.end() || (*found).*NameOf != name)
            return end();
        return { this, index, static_cast<size_t>(found - shard.begin()) };
    }

    auto contains(std::string_view name) const -> bool { return find(name) != end(); }

    /// A copy without the names in `removals` and with `puts` added or replaced. Removals are applied first; absent names are ignored. Of several
    /// puts of one name the last applies.
    auto with(std::vector<Value> puts, std::span<const std::string> removals) const -> name_table
    {
        // Sort the puts by shard and name, so that all puts of a shard are merged in one copy of it.
        auto precedes = [](const Value& a, const Value& b) {
            return std::pair(shardOf(a.*NameOf), std::string_view(a.*NameOf)) < std::pair(shardOf(b.*NameOf), std::string_view(b.*NameOf));
        };
        std::ranges::stable_sort(puts, precedes);
        auto next = *this;
        for (auto& name : removals)
            next.removeOne(name);
        for (auto first = size_t { 0 }; first < puts.size();) {
            auto shard = shardOf(puts[first].*NameOf);
            auto last = first;
            while (last < puts.size() && shardOf(puts[last].*NameOf) == shard)
                ++last;
            next.mergeInto(shard, std::span(puts).subspan(first, last - first));
            first = last;
        }
        return next;
    }

    /// Number of shards that this table shares with `other`; empty shards count as shared.
    auto sharedShards(const name_table& other) const -> size_t
    {
        auto count = size_t { 0 };
        for (auto shard = size_t { 0 }; shard < shardCount; ++shard)
            count += m_shards[shard] == other.m_shards[shard];
        return count;
    }

    auto operator==(const name_table& other) const -> bool
    {
        for (auto shard = size_t { 0 }; shard < shardCount; ++shard) {
            auto isSame = m_shards[shard] == other.m_shards[shard];
            if (!isSame && (shardSize(shard) != other.shardSize(shard) || (shardSize(shard) > 0 && *m_shards[shard] != *other.m_shards[shard])))
                return false;
        }
        return true;
    }

    static constexpr auto shardCount = size_t { 1024 };

private:
    using shard_values = std::vector<Value>;

    static auto shardOf(std::string_view name) -> size_t { return hashName(name) % shardCount; }

    auto shardSize(size_t shard) const -> size_t { return m_shards[shard] ? m_shards[shard]->size() : 0; }

    auto replaceShard(size_t shard, shard_values values) -> void
    {
        m_size = m_size - shardSize(shard) + values.size();
        m_shards[shard] = values.empty() ? nullptr : std::make_shared<const shard_values>(std::move(values));
    }

    auto removeOne(std::string_view name) -> void
    {
        auto found = find(name);
        if (found == end())
            return;
        auto values = *m_shards[found.m_shard];
        values.erase(values.begin() + static_cast<std::ptrdiff_t>(found.m_index));
        replaceShard(found.m_shard, std::move(values));
    }

    auto mergeInto(size_t shard, std::span<Value> puts) -> void
    {
        auto merged = shard_values {};
        merged.reserve(shardSize(shard) + puts.size());
        auto old = m_shards[shard] ? std::span<const Value>(*m_shards[shard]) : std::span<const Value> {};
        for (auto& put : puts) {
            while (!old.empty() && old.front().*NameOf < put.*NameOf) {
                merged.push_back(old.front());
                old = old.subspan(1);
            }
            // A put replaces the old value and any earlier put of the same name.
            if (!old.empty() && old.front().*NameOf == put.*NameOf)
                old = old.subspan(1);
            if (!merged.empty() && merged.back().*NameOf == put.*NameOf)
                merged.pop_back();
            merged.push_back(std::move(put));
        }
        merged.insert(merged.end(), old.begin(), old.end());
        merged.shrink_to_fit();
        replaceShard(shard, std::move(merged));
    }

    std::array<std::shared_ptr<const shard_values>, shardCount> m_shards {};
    size_t m_size { 0 };
};

} // namespace gypsumhub
