/// \file
/// HTTP interface of the stand-in store, with faults.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_STORE_STORE_API_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_STORE_STORE_API_HPP

#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include "rate_limit.hpp"
#include "table.hpp"

#include <mutex>
#include <random>
#include <string>

namespace egretspindle::standin
{

/// Faults that `POST /control` sets; absent fields stay as they are.
struct store_faults
{
    bool outage = false;
    long delay_ms = 0;
    long lose_answers = 0; ///< commits whose answer is lost
    double lose_answer_probability = 0;
    long seed = 0; ///< restarts the random losses when not 0
};

/// Visits the fields of `store_faults` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const store_faults* /*tag*/)
{
    visit("outage", value.outage);
    visit("delay_ms", value.delay_ms);
    visit("lose_answers", value.lose_answers);
    visit("lose_answer_probability", value.lose_answer_probability);
    visit("seed", value.seed);
}

/// Counts of `GET /stats`.
struct store_stats
{
    long reads = 0;
    long writes = 0;
    long conflicts = 0;
    long limited = 0; ///< answered with 429
    long refused = 0; ///< answered with 503 in an outage
    long lost_answers = 0;
};

/// Visits the fields of `store_stats` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const store_stats* /*tag*/)
{
    visit("reads", value.reads);
    visit("writes", value.writes);
    visit("conflicts", value.conflicts);
    visit("limited", value.limited);
    visit("refused", value.refused);
    visit("lost_answers", value.lost_answers);
}

/// Routes requests to the table. A transaction counts as one write, a scan
/// as one read.
class store_api
{
public:
    store_api(const std::string& journal_path, double max_writes_per_second,
              double max_reads_per_second)
        : table_(journal_path), writes_(max_writes_per_second),
          reads_(max_reads_per_second)
    {
    }

    [[nodiscard]] http_response handle(const http_request& request);

private:
    http_response control(const http_request& request);
    http_response serve(const http_request& request);
    http_response commit(const http_request& request);
    http_response transaction(const std::string& tx_id);
    http_response object(const http_request& request);
    http_response stats();

    /// Applies outage, rate limit and delay.
    ///
    /// \returns whether the request may proceed; otherwise sets `refusal`
    bool admit(const http_request& request, http_response& refusal);
    bool is_answer_lost();

    table table_;
    std::mutex mutex_;
    rate_limit writes_;
    rate_limit reads_;
    store_faults faults_;
    store_stats stats_;
    std::mt19937 random_{1};
};

} // namespace egretspindle::standin

#endif
