#include "tamarackridge/src/ledger/handle_table.h"

namespace tamarackridge {
namespace {

std::string randomHandle(random_source &random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string handle;
    handle.reserve(32);
    for (int half = 0; half < 2; ++half) {
        std::uint64_t bits = random.next();
        for (int digit = 0; digit < 16; ++digit) {
            handle.push_back(digits[bits & 0xfU]);
            bits >>= 4U;
        }
    }
    return handle;
}

} // namespace

std::string handle_table::open(running_request request)
{
    std::string handle = randomHandle(m_random);
    m_handles.emplace(request.run, handle);
    m_requests.emplace(handle, std::move(request));
    return handle;
}

running_request *handle_table::find(std::string_view handle)
{
    const auto found = m_requests.find(handle);
    return found == m_requests.end() ? nullptr : &found->second;
}

running_request *handle_table::findRun(run_id run)
{
    const auto found = m_handles.find(run);
    return found == m_handles.end() ? nullptr : find(found->second);
}

void handle_table::close(run_id run)
{
    const auto found = m_handles.find(run);
    if (found == m_handles.end())
        return;
    m_requests.erase(found->second);
    m_handles.erase(found);
}

} // namespace tamarackridge
