#pragma once

#include <string>

#include "dockpoint/batch/records.hpp"
#include "dockpoint/core/error.hpp"

namespace dockpoint {

/// Reads and checks the body of `POST /v1/batches`. What follows from the input file (service,
/// number of items) and from the caller (tenant, id) is left open.
Result<JobSpec> parse_batch_request(const std::string& body);

}  // namespace dockpoint
