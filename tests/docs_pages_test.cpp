#include "tamarackridge/core"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

using namespace tamarackridge;

namespace {

std::string textOf(const std::string &file)
{
    std::ifstream input(std::string(TAMARACKRIDGE_SOURCE_DIR) + "/docs/" + file);
    return {std::istreambuf_iterator<char>(input), {}};
}

// The start of a kind's row in the table of docs/OPERATIONS.md.
std::string rowOf(const error_response &response)
{
    return "\n| `" + std::string(response.name) + "` | " + std::to_string(response.httpStatus)
           + " | `" + std::string(toString(response.state)) + "` | "
           + (response.canResend ? "yes" : "no") + " | ";
}

} // namespace

// Guards against a page that tells callers another status, run state or order than the code.
TEST(DocsPages, ErrorTableMatchesTheCode)
{
    const std::string page = textOf("OPERATIONS.md");
    std::size_t position = page.find("\n## Errors");
    ASSERT_NE(position, std::string::npos);
    for (const error_response &response : errorResponses()) {
        const std::size_t found = page.find(rowOf(response), position);
        ASSERT_NE(found, std::string::npos) << "missing or out of order: " << rowOf(response);
        position = found;
    }
}

// Guards against a page that shows other code than the program that CI compiles and runs.
TEST(DocsPages, EmbeddingShowsTheCompiledExample)
{
    const std::string code = textOf("snippets/embed_node.cpp");
    ASSERT_FALSE(code.empty());
    EXPECT_NE(textOf("embedding.md").find("\n```cpp\n" + code + "```\n"), std::string::npos);
}
