/// \file
/// Token bucket.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_STORE_RATE_LIMIT_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_STORE_RATE_LIMIT_HPP

#include "egretspindle/core/clock.hpp"

#include <algorithm>

namespace egretspindle::standin
{

/// Admits a rate of operations with a burst of a tenth of a second.
class rate_limit
{
public:
    /// \param per_second  admitted rate; 0 means no limit
    explicit rate_limit(double per_second)
        : per_second_(per_second), burst_(std::max(1.0, per_second / 10)),
          tokens_(burst_)
    {
    }

    /// Takes a token.
    ///
    /// \returns false when the rate is exceeded
    bool admit(time_point now)
    {
        if (per_second_ <= 0)
        {
            return true;
        }
        const double seconds =
            std::chrono::duration<double>(now - last_).count();
        last_ = now;
        tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double tokens_;
    time_point last_ = steady_clock::now();
};

} // namespace egretspindle::standin

#endif
