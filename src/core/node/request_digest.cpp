#include "core/node/request_digest.h"

#include <xxhash.h>

namespace tamarackridge::internal {

std::uint64_t requestDigest(const http_request &request)
{
    const std::string_view body = bodyView(request.body);
    std::uint64_t digest = XXH3_64bits(request.method.data(), request.method.size());
    digest = XXH3_64bits_withSeed(request.target.data(), request.target.size(), digest);
    return XXH3_64bits_withSeed(body.data(), body.size(), digest);
}

} // namespace tamarackridge::internal
