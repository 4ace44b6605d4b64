#ifndef MEDLARCROFT_LOAD_GENERATOR_REPORT_PAGE_H_
#define MEDLARCROFT_LOAD_GENERATOR_REPORT_PAGE_H_

#include <optional>
#include <string>

#include "medlarcroft/load_generator/load_report.h"

namespace medlarcroft::load_generator {

/// @param before an earlier run to compare with, or nullopt.
/// @return an HTML page with plots of latency, request counts and headroom. It
/// has no external resources.
[[nodiscard]] std::string FormatReportPage(
    const LoadReport& report,
    const std::optional<LoadReport>& before);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_REPORT_PAGE_H_
