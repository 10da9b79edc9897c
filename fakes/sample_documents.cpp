#include "fakes/sample_documents.h"

#include "gypsumhub/config/configuration_builder.h"

namespace gypsumhub {

auto sampleRegisterText() -> std::string
{
    return R"([data_centre ahd-a]
region = ahd
[data_centre srt-a]
region = srt
[service bookdesk]
[service feeledger]
[vm bookdesk-1]
service = bookdesk
data_centre = ahd-a
address = 127.1.0.1:9000
slots = 4
[vm bookdesk-2]
service = bookdesk
data_centre = srt-a
address = 127.1.0.2:9000
[vm feeledger-1]
service = feeledger
data_centre = ahd-a
address = 127.1.0.3:9000
slots = 3
[vm feeledger-2]
service = feeledger
data_centre = srt-a
address = 127.1.0.4:9000
[node hub-1]
data_centre = ahd-a
address = 127.2.0.1:8000
peer_address = 127.2.0.1:8001
[node hub-2]
data_centre = srt-a
address = 127.2.0.2:8000
peer_address = 127.2.0.2:8001
[route /bookings]
service = bookdesk
[route /fees]
service = feeledger
[caller agency-1]
requests_per_second = 50
)";
}

auto sampleRulesText() -> std::string
{
    return R"([service bookdesk]
floor = 70%
preference = fast-detection
non_idempotent = POST /, PATCH /bookings
linger = 20s
[service feeledger]
floor = 60%
preference = few-false-ejections
retry_budget = 5%
default_deadline = 2500ms
queue_limit = 100
hedging = yes
)";
}

auto sampleConfiguration() -> std::shared_ptr<const configuration>
{
    constexpr auto code = result_code::ConfigurationInvalid;
    auto builder = configuration_builder();
    builder.addRegister(parseIni(sampleRegisterText(), "register.ini", code).value());
    builder.addRules(parseIni(sampleRulesText(), "rules.ini", code).value());
    return builder.build({ 1, {} }).value();
}

} // namespace gypsumhub
