#include "daemon_program.hpp"

#include "goldcrestgate/app/instance.hpp"
#include "goldcrestgate/app/instance_settings.hpp"

namespace
{

using namespace goldcrestgate;

struct dispatcher_daemon
{
    using settings = app::instance_settings;
    using instance = app::instance;

    static constexpr char const* name = "goldcrestgated";
    static constexpr char const* title = "entry instance of goldcrestgate";

    static core::result<app::settings_check<settings>>
    read_settings(std::string const& file)
    {
        return app::read_instance_settings(file);
    }

    static std::string describe_settings()
    {
        return app::describe_instance_settings();
    }

    static void handle_signals()
    {
        // SIGHUP keeps its default action.
    }

    static core::result<int> run(instance& entry, app::logger& log)
    {
        BOOST_LEAF_AUTO(outcome, entry.run());
        bool const graceful = outcome == app::stop_kind::graceful;
        log.write(app::log_line{app::log_level::info, "stopped"}.flag(
            "graceful", graceful));
        return graceful ? programs::exit_graceful : programs::exit_forced;
    }
};

} // namespace

int main(int argc, char** argv)
{
    return programs::daemon_program<dispatcher_daemon>::main(argc, argv);
}
