#include "gypsumhub/operator/log_event.h"

#include <boost/json/serialize.hpp>

namespace gypsumhub {

auto logEvent(google::LogSeverity severity, std::string_view event, boost::json::object fields) -> void
{
    fields["event"] = event;
    google::LogMessage(__FILE__, __LINE__, severity).stream() << boost::json::serialize(fields);
}

} // namespace gypsumhub
