#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/node/peer_message.h"

#include <tl/expected.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Records returned by one read of the platform log.
struct log_page
{
    std::int64_t first = 0; ///< Oldest offset that the log still retains.
    std::int64_t next = 0; ///< Offset that the log will assign to the next record.
    std::vector<log_record> records;
};

/// \brief Synchronous client of the platform log, over one persistent connection.
///
/// Not thread-safe except for interrupt(): each thread needs a separate client. An append is
/// transmitted at most once; after an error the record may or may not have been appended.
class log_client
{
public:
    /// \param address for example `http://10.0.0.2:7300`.
    explicit log_client(std::string address,
                        std::chrono::milliseconds timeout = std::chrono::seconds(5));
    log_client(const log_client &) = delete;
    log_client &operator=(const log_client &) = delete;
    ~log_client();

    /// \returns the offset of the appended record, or `log_unavailable`.
    tl::expected<std::int64_t, error_kind> append(const std::string &stream,
                                                  const std::string &data);
    /// \param max maximum number of records.
    /// \param wait how long the log may delay its response while there is no record.
    tl::expected<log_page, error_kind> read(const std::string &stream, std::int64_t from,
                                            std::size_t max, std::chrono::milliseconds wait);

    /// \brief Makes the current call and all later calls fail with `log_unavailable`. May be called
    /// on any thread.
    void interrupt();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarackridge
