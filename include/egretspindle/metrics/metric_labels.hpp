/// \file
/// Labels of a metric.

#ifndef EGRETSPINDLE_METRICS_METRIC_LABELS_HPP
#define EGRETSPINDLE_METRICS_METRIC_LABELS_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// Label values by name.
using metric_labels = std::map<std::string, std::string>;

} // namespace egretspindle

#endif
