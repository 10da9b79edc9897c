#include "gypsumhub/gateway/gateway_counters.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto rows = std::to_array<counter_row>({
        { "requests_total", "Requests read completely.", &gateway_counters::requests },
        { "pipelined_total", "Requests read while an earlier one of their connection was not answered.", &gateway_counters::pipelined },
        { "answered_total", "Requests answered with a success of a target.", &gateway_counters::answered },
        { "target_failures_total", "Requests answered with a failure of a target.", &gateway_counters::targetFailures },
        { "refused_total", "Requests refused without having run.", &gateway_counters::refused },
        { "late_waits_total", "Requests admitted to wait although they would miss their latency target.", &gateway_counters::lateWaits },
        { "late_waits_in_vain_total", "Requests that waited past their latency target and were refused.", &gateway_counters::lateWaitsInVain },
        { "early_resends_total", "Requests sent to another target after the 97th percentile of the response times.", &gateway_counters::earlyResends },
        { "unknown_outcomes_total", "Requests that may have run and received no answer.", &gateway_counters::unknownOutcomes },
        { "no_route_total", "Requests that match no route.", &gateway_counters::noRoute },
        { "unauthorized_total", "Requests without a valid key of a customer.", &gateway_counters::unauthorized },
        { "unconfirmed_refusals_total", "Requests with a key refused since the confirmation of the configuration was too old.", &gateway_counters::unconfirmedRefusals },
        { "confirmation_requests_total", "Requests of this node to others for the age of their confirmation of the configuration.", &gateway_counters::confirmationRequests },
        { "confirmations_given_total", "Answers to such requests of other nodes.", &gateway_counters::confirmationsGiven },
        { "confirmation_store_reads_total", "Reads of the configuration from the store since no other node confirmed it.", &gateway_counters::confirmationStoreReads },
        { "bad_requests_total", "Requests that could not be read.", &gateway_counters::badRequests },
        { "callers_gone_total", "Callers that disconnected before their answer.", &gateway_counters::callersDisconnected },
        { "repeats_total", "Retries sent.", &gateway_counters::retries },
        { "repeats_denied_total", "Retries denied by the retry budget.", &gateway_counters::retriesDenied },
        { "declined_total", "Requests that a target declined to run.", &gateway_counters::declinedByTarget },
        { "connect_failures_total", "Connections to targets that could not be opened.", &gateway_counters::connectFailures },
        { "new_connections_total", "Connections opened to targets.", &gateway_counters::newConnections },
        { "path_probes_total", "Connections opened to find out whether the paths to the targets are lost.", &gateway_counters::pathProbes },
        { "path_losses_total", "Times that the paths to all targets of a service were lost.", &gateway_counters::pathLosses },
        { "relayed_total", "Requests sent to another node since the paths to the targets were lost.", &gateway_counters::relayed },
        { "relays_not_taken_total", "Requests that no other node took.", &gateway_counters::relaysNotTaken },
        { "relays_received_total", "Requests received from nodes that have lost their paths to the targets.", &gateway_counters::relaysReceived },
        { "outcomes_told_total", "Outcomes sent to other nodes.", &gateway_counters::outcomesSent },
        { "outcomes_heard_total", "Outcomes received from other nodes.", &gateway_counters::outcomesReceived },
        { "store_failures_total", "Calls to the store that failed.", &gateway_counters::storeFailures },
        { "bad_datagrams_total", "Datagrams that were malformed or from an unknown sender.", &gateway_counters::badDatagrams },
        { "target_crashes_total", "Targets that ended with requests of this node in flight.", &gateway_counters::targetCrashes },
        { "quarantine_refusals_total", "Requests refused since they crash the targets that run them.", &gateway_counters::quarantineRefusals },
        { "malformed_limits_total", "Answers whose rate limit could not be read.", &gateway_counters::malformedLimits },
        { "target_pauses_total", "Answers in which a target asked this node for a pause.", &gateway_counters::pauses },
        { "invalid_statuses_total", "Answers of targets with a status that HTTP does not define.", &gateway_counters::invalidStatuses },
        { "malformed_pauses_total", "Answers of targets with a Retry-After that is no number of seconds.", &gateway_counters::malformedPauses },
        { "leaving_statements_total", "Targets that became known to be leaving by their answers to this node or another one.", &gateway_counters::leavingStatements },
        { "late_registrations_total", "Registrations read from the store that seemed older than the known ones.", &gateway_counters::lateRegistrations },
        { "permit_requests_total", "Requests of this node for permits of targets with a limit.", &gateway_counters::permitRequests },
        { "permits_granted_total", "Permits that this node granted.", &gateway_counters::permitsGranted },
        { "credit_requests_total", "Requests of this node for credits of customers with a limit.", &gateway_counters::creditRequests },
        { "credits_granted_total", "Credits that this node granted for its data centre.", &gateway_counters::creditsGranted },
        { "credits_denied_total", "Credits that this node denied since the limit of the customer was reached.", &gateway_counters::creditsDenied },
        { "lease_requests_total", "Requests of this node for fractions of the limits of customers.", &gateway_counters::leaseRequests },
        { "leases_granted_total", "Fractions of limits of customers that this node leased to data centres.", &gateway_counters::leasesGranted },
        { "undelivered_answers_total", "Connections closed before their caller had received an answer whole.", &gateway_counters::undeliveredAnswers },
        { "permits_denied_total", "Permits that this node denied since the limit of the target was reached.", &gateway_counters::permitsDenied },
        { "internal_failures_total", "Exceptions that ended a connection, or that a loop of the node went on after.", &gateway_counters::internalFailures },
    });

} // namespace

auto latency_histogram::record(duration length) -> void
{
    auto index = std::ranges::lower_bound(bounds, length.milliseconds()) - bounds.begin();
    ++m_counts[static_cast<size_t>(index)];
    m_sum = m_sum + length;
}

auto gateway_counters::ofCustomer(std::string_view name) -> customer_counters&
{
    auto found = customers.find(name);
    if (found != customers.end())
        return found->second;
    return customers[customers.size() < maxCustomers ? std::string(name) : std::string {}];
}

auto counterTable() -> std::span<const counter_row>
{
    return rows;
}

} // namespace gypsumhub
