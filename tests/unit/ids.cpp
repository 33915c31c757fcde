#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/error.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string_view>

namespace
{

using namespace goldcrestgate::core;

// Guards against ids that two instances would parse differently.
class ids_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ids_test);
    CPPUNIT_TEST(text_form_round_trips);
    CPPUNIT_TEST(other_forms_are_refused);
    CPPUNIT_TEST(error_text_names_area_number_step_and_peer);
    CPPUNIT_TEST_SUITE_END();

public:
    void text_form_round_trips()
    {
        submission_id const id{
            {domain_id{3}, instance_id{0xa1}, incarnation{0xffffffffffffffff}},
            0x10};
        CPPUNIT_ASSERT_EQUAL(std::string{"g1-3-a1-ffffffffffffffff-10"},
                             to_string(id));
        CPPUNIT_ASSERT(parse_submission_id(to_string(id)) == id);
    }

    void other_forms_are_refused()
    {
        constexpr std::array<std::string_view, 10> texts = {
            "",
            "g1-",
            "g1-1-2-3",
            "g1-1-2-3-4-5",
            "g2-1-2-3-4",
            "g1-01-2-3-4",
            "g1-1-2-3-",
            "g1-1-2-3-G",
            "g1-10000-2-3-4",
            "g1-1-2-3-10000000000000000"};
        for (auto const text : texts)
        {
            CPPUNIT_ASSERT(!parse_submission_id(text).has_value());
        }
    }

    void error_text_names_area_number_step_and_peer()
    {
        error const failure{error_code::log_unavailable, "append to the log",
                            "127.0.0.1:8000", "status 503"};
        CPPUNIT_ASSERT_EQUAL(std::string{"[goldcrestgate.platform.801] append "
                                         "to the log: status 503 (peer "
                                         "127.0.0.1:8000)"},
                             to_string(failure));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ids_test, "ids");

} // namespace
