#include "goldcrestgate/app/cli/command_line.hpp"
#include "goldcrestgate/app/error_guide.hpp"
#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>

namespace
{

using namespace goldcrestgate;

// Guards against documentation whose generated sections do not match the code;
// scripts/update-docs regenerates them.
class operator_pages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_pages_test);
    CPPUNIT_TEST(settings_page_matches_the_code);
    CPPUNIT_TEST(operations_page_matches_the_code);
    CPPUNIT_TEST(each_error_has_advice);
    CPPUNIT_TEST_SUITE_END();

    static std::string read_page(std::string const& name)
    {
        std::ifstream input(std::string{GOLDCRESTGATE_TEST_DIR} + "/../docs/" +
                            name);
        CPPUNIT_ASSERT(input.good());
        return {std::istreambuf_iterator<char>(input), {}};
    }

    static void assert_section(std::string const& page, std::string const& name,
                               std::string const& text)
    {
        auto const section = "<!-- begin " + name + " -->\n" + text +
                             "<!-- end " + name + " -->";
        CPPUNIT_ASSERT_MESSAGE(name, page.find(section) != std::string::npos);
    }

public:
    void settings_page_matches_the_code()
    {
        auto const page = read_page("settings.md");
        assert_section(page, "instance", app::describe_instance_settings());
        assert_section(page, "tree", core::describe_tree_schema());
    }

    void operations_page_matches_the_code()
    {
        auto const page = read_page("OPERATIONS.md");
        assert_section(page, "errors", app::describe_error_guide());
        assert_section(page, "commands",
                       "```text\n" + app::cli::general_help() + "```\n");
    }

    void each_error_has_advice()
    {
        constexpr unsigned last_code = 999;
        std::size_t count = 0;
        for (unsigned number = 100; number <= last_code; ++number)
        {
            auto const name =
                core::error_name(static_cast<core::error_code>(number));
            if (name != "unnamed")
            {
                ++count;
                CPPUNIT_ASSERT_MESSAGE(std::string{name},
                                       app::find_advice(name) != nullptr);
            }
        }
        CPPUNIT_ASSERT_EQUAL(count, app::error_guide().size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(operator_pages_test, "operator_pages");

} // namespace
