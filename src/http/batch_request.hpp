#pragma once

#include <string>

#include "dockpoint/batch/records.hpp"
#include "dockpoint/core/error.hpp"

namespace dockpoint {

/// Parses and validates the body of `POST /v1/batches`. Fields derived from the input file
/// (service, number of items) and from the caller (tenant, id) are not set.
Result<JobSpec> parse_batch_request(const std::string& body);

}  // namespace dockpoint
