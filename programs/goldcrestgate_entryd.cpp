#include "daemon_program.hpp"

#include "goldcrestgate/app/entry/entry_instance.hpp"
#include "goldcrestgate/app/entry/entry_settings.hpp"

namespace
{

using namespace goldcrestgate;

struct entry_daemon
{
    using settings = app::entry_settings;
    using instance = app::entry_instance;

    static constexpr char const* name = "goldcrestgate_entryd";
    static constexpr char const* title =
        "entry instance of goldcrestgate on a platform of leased executors";

    static core::result<app::entry_settings_check>
    read_settings(std::string const& file)
    {
        return app::read_entry_settings(file);
    }

    static std::string describe_settings()
    {
        return app::describe_entry_settings();
    }

    static void handle_signals()
    {
        // The settings are read once; a change takes effect at the next start.
        std::signal(SIGHUP, SIG_IGN);
    }

    static core::result<int> run(instance& entry, app::logger&)
    {
        BOOST_LEAF_CHECK(entry.run());
        return programs::exit_graceful;
    }
};

} // namespace

int main(int argc, char** argv)
{
    return programs::daemon_program<entry_daemon>::main(argc, argv);
}
