#include "fuzz/settings_inputs.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;

// Guards against inputs that broke a settings parser, and against similar
// ones.
class settings_corpus_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_corpus_test);
    CPPUNIT_TEST(instance_settings_corpus);
    CPPUNIT_TEST(settings_tree_corpus);
    CPPUNIT_TEST(settings_record_corpus);
    CPPUNIT_TEST_SUITE_END();

    // Replays each whole file and its prefixes of less than 600 bytes, as a
    // truncated read would deliver them.
    static void replay(std::string const& name, void (*run)(std::string_view))
    {
        std::filesystem::path const folder =
            std::string{GOLDCRESTGATE_TEST_DIR} + "/fuzz/corpus/" + name;
        std::size_t files = 0;
        for (auto const& entry : std::filesystem::directory_iterator(folder))
        {
            std::ifstream input(entry.path(), std::ios::binary);
            std::string const text{std::istreambuf_iterator<char>(input), {}};
            constexpr std::size_t longest_prefix_bytes = 600;
            for (std::size_t length = 0;
                 length < std::min(text.size(), longest_prefix_bytes); ++length)
            {
                run(std::string_view{text}.substr(0, length));
            }
            run(text);
            ++files;
        }
        CPPUNIT_ASSERT(files > 0);
    }

public:
    void instance_settings_corpus()
    {
        replay("instance_settings", fuzz::run_instance_settings);
    }

    void settings_tree_corpus()
    {
        replay("settings_tree", fuzz::run_settings_tree);
    }

    void settings_record_corpus()
    {
        replay("settings_record", fuzz::run_settings_record);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_corpus_test, "settings_corpus");

} // namespace
