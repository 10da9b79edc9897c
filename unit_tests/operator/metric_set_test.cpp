#include "gypsumhub/operator/metric_set.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("samples of one metric family share a header and keep their labels")
{
    auto metrics = metric_set {};
    metrics.addCounter("results_total", "Requests ended.", 3, { { "code", "0" } });
    metrics.addCounter("results_total", "Requests ended.", 4, { { "code", "304" } });
    metrics.addGauge("in_flight", "Requests in flight.", 2);
    auto text = metrics.toText();
    CHECK(text.find("# TYPE gypsumhub_in_flight gauge\ngypsumhub_in_flight 2") != std::string::npos);
    CHECK(text.find("# TYPE gypsumhub_results_total counter\ngypsumhub_results_total{code=\"0\"} 3") != std::string::npos);
    CHECK(text.find("gypsumhub_results_total{code=\"304\"} 4") != std::string::npos);
}

} // namespace gypsumhub
