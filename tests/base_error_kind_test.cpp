#include "tamarackridge/core"

#include <gtest/gtest.h>

#include <set>

using namespace tamarackridge;

// Guards against an error response that claims `not-run` although a backend server may have
// received the request.
TEST(ErrorKind, OutcomesAfterDispatchNeverClaimNotRun)
{
    for (error_kind kind :
         {error_kind::outcome_unknown, error_kind::backend_timeout, error_kind::backend_failed,
          error_kind::backend_answer_incomplete, error_kind::request_id_expired,
          error_kind::owner_unreachable, error_kind::request_quarantined}) {
        EXPECT_EQ(responseFor(kind).state, run_state::unknown) << responseFor(kind).name;
    }
}

// Guards against two error kinds with the same name, which a caller could not distinguish.
TEST(ErrorKind, NamesAreUnique)
{
    std::set<std::string_view> names;
    for (const error_response &response : errorResponses())
        EXPECT_TRUE(names.insert(response.name).second) << response.name;
}
