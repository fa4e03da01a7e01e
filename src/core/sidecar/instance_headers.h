#pragma once

#include "core/node/run_headers.h"
#include "tamarackridge/src/sidecar/sidecar_core.h"

#include <string>
#include <utility>
#include <vector>

namespace tamarackridge::internal {

/// \brief Adds the headers that tell a backend server the remaining time and the instance for which
/// the request is meant.
class instance_headers final : public run_headers
{
public:
    explicit instance_headers(const header_names &names)
        : m_names(names)
    { }

    void setInstance(std::string instance) { m_instance = std::move(instance); }
    void open(const starting_run &run, time_point now, std::vector<http_header> &headers) override;
    std::uint32_t close(run_id run, std::uint32_t attempts) override;

private:
    const header_names &m_names;
    std::string m_instance;
};

} // namespace tamarackridge::internal
