#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/allowance_choice.h"
#include "gypsumhub/decision/selection/allowance_credits.h"
#include "gypsumhub/decision/selection/allowance_distributor.h"
#include "gypsumhub/decision/selection/allowance_leases.h"
#include "unit_tests/decision/selection/fleet_customer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <string>
#include <variant>
#include <vector>

namespace gypsumhub {

// Nodes that exchange credits and leases over a network that loses, delays and duplicates datagrams.
class allowance_fleet {
public:
    static constexpr auto stepTime = milliseconds(5);
    static constexpr auto tickTime = milliseconds(50);
    static constexpr auto learnTime = milliseconds(3'000);
    static constexpr auto helloTimeout = milliseconds(1'300);
    static constexpr auto candidatesTime = milliseconds(100);

    allowance_fleet(size_t nodeCount, size_t dataCentreCount, double lossShare, std::vector<fleet_customer> given, std::vector<fleet_fault> faults, uint64_t seed)
        : customers(std::move(given))
        , m_lossShare(lossShare)
        , m_faults(std::move(faults))
        , m_random(seed)
    {
        for (auto index = size_t { 0 }; index < dataCentreCount; ++index)
            m_dataCentres.push_back("dc" + std::to_string(index));
        for (auto index = size_t { 0 }; index < nodeCount; ++index) {
            m_nodes.push_back({ "n" + std::to_string(index), index % dataCentreCount });
            restart(index, time_point {});
            m_nodes.back().rate = customers.front().rate;
        }
    }

    auto run(duration length) -> void { run({}, time_point {} + length); }
    /// The requests of all customers that were refused in the time.
    auto refusedIn(time_point from, time_point until) -> size_t
    {
        auto count = [&] { return std::accumulate(customers.begin(), customers.end(), size_t { 0 }, [](size_t sum, auto& customer) { return sum + customer.refused(); }); };
        auto before = count();
        run(from, until);
        return count() - before;
    }

    auto run(time_point from, time_point until) -> void
    {
        for (auto now = from; now < until; now = now + stepTime) {
            applyFaults(now);
            deliver(now);
            for (auto& customer : customers) {
                auto count = customer.demand * stepTime.seconds();
                for (count += m_random.unit(); count >= 1; --count) {
                    auto index = m_random.below(std::min(customer.busyNodes, m_nodes.size()));
                    if (customer.busyDataCentre)
                        index = index / m_dataCentres.size() * m_dataCentres.size() + *customer.busyDataCentre;
                    arrive(customer, std::min(index, m_nodes.size() - 1), now);
                }
            }
            for (auto index = size_t { 0 }; index < m_nodes.size(); ++index) {
                if (m_nodes[index].isUp)
                    work(index, now);
            }
        }
    }

    /// The most requests of the customer in a window of 5 s that begins at `from` or later, by the time of their arrival.
    static auto mostInWindow(const fleet_customer& customer, time_point from = {}) -> double
    {
        auto most = std::ptrdiff_t { 0 };
        auto used = customer.used;
        std::ranges::sort(used);
        for (auto first = std::ranges::lower_bound(used, from); first != used.end(); ++first)
            most = std::max(most, std::ranges::lower_bound(first, used.end(), *first + seconds(5)) - first);
        return static_cast<double>(most);
    }

    static auto used(const fleet_customer& customer, time_point from, time_point until) -> double
    {
        return static_cast<double>(std::ranges::count_if(customer.used, [&](auto time) { return time >= from && time < until; }));
    }

    std::vector<fleet_customer> customers;
    size_t remoteMessages { 0 };
    size_t localMessages { 0 };

private:
    using content = std::variant<credit_request, credit_grant, lease_request, lease_grant>;

    struct waiter {
        fleet_customer* customer;
        time_point arrivedAt;
    };

    struct chosen_nodes {
        std::vector<std::string> names;
        time_point until;
    };

    struct node {
        std::string name;
        size_t dataCentre { 0 };
        bool isUp { true };
        bool isCut { false };
        /// When `isUp` or `isCut` changed last.
        time_point changedAt {};
        double rate { 0 };
        allowance_credits credits {};
        allowance_distributor distributor {};
        allowance_leases leases {};
        std::deque<waiter> waiters {};
        /// By data centre and bucket.
        std::map<std::pair<size_t, uint32_t>, chosen_nodes> candidates {};
    };

    struct message {
        size_t sender;
        size_t receiver;
        content sent;
    };

    auto restart(size_t index, time_point now) -> void
    {
        auto& restarted = m_nodes[index];
        auto ticket = static_cast<uint64_t>(now.ns) + 1;
        restarted.credits = allowance_credits(ticket);
        restarted.distributor = allowance_distributor(ticket);
        restarted.leases = {};
        restarted.waiters.clear();
        restarted.candidates.clear();
        restarted.changedAt = now;
    }

    auto areConnected(const node& left, const node& right) const -> bool { return left.isCut == right.isCut; }

    // What the observer believes: of its own data centre by hellos, of others by registrations, which end later.
    auto isAvailable(const node& observer, const node& other, time_point now) const -> bool
    {
        if (&observer == &other)
            return true;
        auto isReached = other.isUp && areConnected(observer, other);
        auto since = areConnected(observer, other) ? other.changedAt : std::max(observer.changedAt, other.changedAt);
        if (observer.dataCentre != other.dataCentre)
            return true;
        return isReached ? now >= since + milliseconds(400) : now < since + helloTimeout;
    }

    // Chosen anew after some time, as by `allowance_watcher`.
    auto candidates(node& observer, size_t dataCentre, uint32_t bucket, time_point now) const -> const std::vector<std::string>&
    {
        auto& chosen = observer.candidates[{ dataCentre, bucket }];
        if (now < chosen.until)
            return chosen.names;
        auto available = std::vector<allowance_node> {};
        for (auto& other : m_nodes) {
            if (other.dataCentre == dataCentre && isAvailable(observer, other, now))
                available.push_back({ other.name, true });
        }
        chosen = { allowance_choice::distributors(available, bucket), now + candidatesTime };
        return chosen.names;
    }

    auto indexOf(const std::string& name) const -> size_t { return std::stoul(name.substr(1)); }

    auto fleetDataCentre(uint32_t bucket) const -> size_t
    {
        return std::stoul(allowance_choice::fleetDataCentre(m_dataCentres, bucket).substr(2));
    }

    auto isFleetDistributor(node& self, uint32_t bucket, time_point now) const -> bool
    {
        if (fleetDataCentre(bucket) != self.dataCentre)
            return false;
        auto registered = size_t { 0 }, heard = size_t { 0 };
        for (auto& other : m_nodes) {
            registered += other.dataCentre == self.dataCentre ? 1 : 0;
            heard += other.dataCentre == self.dataCentre && isAvailable(self, other, now) ? 1 : 0;
        }
        auto confirmationAge = self.isCut ? now - self.changedAt : duration {};
        return allowance_choice::mayLease(confirmationAge, heard, registered) && candidates(self, self.dataCentre, bucket, now).front() == self.name;
    }

    auto limitOf(const node& self, std::string_view name) const -> allowance_limit
    {
        auto found = std::ranges::find(customers, name, &fleet_customer::name);
        auto rate = found == customers.begin() ? self.rate : found->rate;
        return allowanceLimitOf(rate, found->burst, { seconds(5), 0.1, 20 }, m_nodes.size(), m_dataCentres.size());
    }

    auto applyFaults(time_point now) -> void
    {
        while (!m_learnings.empty() && m_learnings.begin()->first <= now) {
            m_nodes[m_learnings.begin()->second.first].rate = m_learnings.begin()->second.second;
            m_learnings.erase(m_learnings.begin());
        }
        for (auto& fault : m_faults) {
            if (fault.at <= now && now < fault.at + stepTime)
                apply(fault, now);
        }
    }

    auto apply(const fleet_fault& fault, time_point now) -> void
    {
        auto bucket = allowance_choice::bucketOf(customers.front().name);
        auto dataCentre = fleetDataCentre(bucket);
        if (fault.what == fleet_fault::kind::LoseDistributor)
            dataCentre = dataCentre == 0 && m_dataCentres.size() > 1 ? 1 : 0;
        auto ranked = candidates(m_nodes[dataCentre], dataCentre, bucket, now);
        auto lost = *std::ranges::find_if(ranked, [&](auto& name) { return m_nodes[indexOf(name)].isUp; });
        for (auto index = size_t { 0 }; index < m_nodes.size(); ++index) {
            auto& changed = m_nodes[index];
            if (fault.what == fleet_fault::kind::RestartAll)
                restart(index, now);
            else if (fault.what == fleet_fault::kind::ChangeRate)
                m_learnings.emplace(now + milliseconds(static_cast<int64_t>(m_random.below(3'000))), std::pair(index, fault.rate));
            else if ((fault.what == fleet_fault::kind::CutHalf && index / m_dataCentres.size() % 2 == 1)
                || (fault.what == fleet_fault::kind::CutFleetDataCentre && changed.dataCentre == dataCentre)
                || (fault.what == fleet_fault::kind::Reconnect && changed.isCut)) {
                changed.isCut = !changed.isCut;
                changed.changedAt = now;
            } else if (changed.name == lost && (fault.what == fleet_fault::kind::LoseDistributor || fault.what == fleet_fault::kind::LoseFleetDistributor)) {
                changed.isUp = false;
                changed.changedAt = now;
            }
        }
    }

    auto send(size_t sender, size_t receiver, content sent, time_point now) -> void
    {
        auto isLocal = m_nodes[sender].dataCentre == m_nodes[receiver].dataCentre;
        if (sender == receiver) {
            receive({ sender, receiver, std::move(sent) }, now);
            return;
        }
        ++(isLocal ? localMessages : remoteMessages);
        if (m_random.unit() < m_lossShare || !areConnected(m_nodes[sender], m_nodes[receiver]))
            return;
        for (auto copies = m_random.unit() < m_lossShare ? 2 : 1; copies > 0; --copies) {
            auto late = m_random.unit() < m_lossShare ? m_random.below(400) : 0;
            m_network.emplace(now + milliseconds(static_cast<int64_t>((isLocal ? 1 + m_random.below(5) : 20 + m_random.below(30)) + late)), message { sender, receiver, sent });
        }
    }

    auto deliver(time_point now) -> void
    {
        while (!m_network.empty() && m_network.begin()->first <= now) {
            auto received = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            if (m_nodes[received.receiver].isUp)
                receive(received, now);
        }
    }

    auto receive(const message& received, time_point now) -> void
    {
        auto& self = m_nodes[received.receiver];
        if (auto* request = std::get_if<credit_request>(&received.sent)) {
            auto granted = self.distributor.grant(
                m_nodes[received.sender].name, *request, [&](auto name) { return limitOf(self, name); }, now);
            send(received.receiver, received.sender, granted, now);
        } else if (auto* grant = std::get_if<credit_grant>(&received.sent))
            self.credits.recordGrant(*grant, now);
        else if (auto* leases = std::get_if<lease_grant>(&received.sent))
            self.distributor.recordLeases(*leases, now);
        else if (auto* asked = std::get_if<lease_request>(&received.sent); asked && asked->isStatement)
            self.leases.recordStatement(*asked, now);
        else if (asked && asked->probe != 0)
            answerProbe(self, *asked, now);
        else if (asked) {
            auto first = candidates(self, self.dataCentre, asked->bucket, now).front();
            if (first != self.name && !asked->isForwarded && fleetDataCentre(asked->bucket) == self.dataCentre) {
                auto forwarded = *asked;
                forwarded.isForwarded = true;
                send(received.receiver, indexOf(first), forwarded, now);
                return;
            }
            auto answer = self.leases.grant(
                *asked, m_dataCentres.size(), [&](auto name) { return limitOf(self, name); }, now);
            sendProbes(self, asked->bucket, now);
            if (answer)
                send(received.receiver, indexOf(asked->asker), *answer, now);
        }
    }

    auto answerProbe(node& self, const lease_request& probe, time_point now) -> void
    {
        auto statement = *self.distributor.statement(probe.bucket, now);
        statement.asker = self.name;
        statement.dataCentre = m_dataCentres[self.dataCentre];
        statement.probe = probe.probe;
        statement.isBlocking = probe.asker != self.name && self.leases.serves(probe.bucket);
        send(indexOf(self.name), indexOf(probe.asker), statement, now);
    }

    auto sendProbes(node& self, uint32_t bucket, time_point now) -> void
    {
        auto holders = std::vector<std::string> {};
        for (auto dataCentre = size_t { 0 }; dataCentre < m_dataCentres.size(); ++dataCentre) {
            auto registered = std::vector<allowance_node> {};
            for (auto& other : m_nodes) {
                if (other.dataCentre == dataCentre)
                    registered.push_back({ other.name, true });
            }
            std::ranges::move(allowance_choice::distributors(registered, bucket), std::back_inserter(holders));
        }
        auto probe = self.leases.takeProbe(bucket, holders, now);
        if (!probe)
            return;
        auto sent = lease_request { .asker = self.name, .dataCentre = {}, .bucket = bucket, .demands = {}, .probe = probe->number };
        for (auto& receiver : probe->receivers)
            send(indexOf(self.name), indexOf(receiver), sent, now);
    }

    auto arrive(fleet_customer& customer, size_t index, time_point now) -> void
    {
        auto& self = m_nodes[index];
        if (!self.isUp)
            return;
        self.credits.recordArrival(customer.name, now);
        self.waiters.push_back({ &customer, now });
    }

    auto serveWaiters(node& self, time_point now) -> void
    {
        auto waiting = std::map<fleet_customer*, size_t> {};
        for (auto& customer : customers)
            waiting[&customer] = 0;
        std::erase_if(self.waiters, [&](auto& entry) {
            auto& customer = *entry.customer;
            auto taken = self.credits.take(customer.name, now);
            if (taken.kind == allowance_credits::answer::Granted)
                customer.used.push_back(entry.arrivedAt);
            else if (taken.kind == allowance_credits::answer::OverLimit)
                ++customer.overLimit;
            else if (now < entry.arrivedAt + creditLifetime) {
                ++waiting[&customer];
                return false;
            } else
                ++customer.unavailable;
            return true;
        });
        for (auto& [customer, count] : waiting)
            self.credits.setWaiting(customer->name, count);
    }

    auto work(size_t index, time_point now) -> void
    {
        auto& self = m_nodes[index];
        if (now.ns % tickTime.ns == 0) {
            self.distributor.prune(now);
            self.leases.tick(now, [&](auto bucket) { return isFleetDistributor(self, bucket, now); });
        }
        if (!self.waiters.empty()) {
            serveWaiters(self, now);
            for (auto& demand : self.credits.takeDemands(now)) {
                auto& asked = candidates(self, self.dataCentre, demand.bucket, now);
                send(index, indexOf(asked[demand.candidate % asked.size()]), demand.request, now);
            }
            serveWaiters(self, now);
        }
        if (self.distributor.customerCount() == 0)
            return;
        for (auto& demand : self.distributor.takeDemands(now, [&](auto bucket) { return candidates(self, self.dataCentre, bucket, now).front() == self.name; })) {
            auto& asked = candidates(self, fleetDataCentre(demand.request.bucket), demand.request.bucket, now);
            auto request = demand.request;
            request.asker = self.name;
            request.dataCentre = m_dataCentres[self.dataCentre];
            send(index, indexOf(asked[demand.candidate % asked.size()]), request, now);
        }
    }

    double m_lossShare;
    std::vector<fleet_fault> m_faults;
    random_generator m_random;
    std::vector<std::string> m_dataCentres;
    std::vector<node> m_nodes;
    std::multimap<time_point, message> m_network;
    std::multimap<time_point, std::pair<size_t, double>> m_learnings;
};

} // namespace gypsumhub
