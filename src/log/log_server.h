#pragma once

#include "log/log_service.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarackridge {

/// \brief Serves a log_service over HTTP until it is destroyed.
class log_server
{
public:
    /// \param address IPv4 address to listen on.
    log_server(log_service &service, const std::string &address, std::uint16_t port);
    log_server(const log_server &) = delete;
    log_server &operator=(const log_server &) = delete;
    ~log_server();

    /// \returns whether the server listens on the address; false if it could not be bound.
    bool listening() const;

private:
    struct instance;
    std::unique_ptr<instance> m_instance;
};

} // namespace tamarackridge
