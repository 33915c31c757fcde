#include "goldcrestgate/core/leasing/roster_status.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

void roster_status::owner_seen(std::uint64_t term)
{
    last_owner_term_ = std::max(last_owner_term_, term);
}

bool roster_status::received(executor_roster const& roster)
{
    if (roster.complete)
    {
        complete_term_ = roster.term;
    }
    return roster.complete;
}

bool roster_status::claimed(std::uint64_t term)
{
    bool const was_complete = complete();
    last_owner_term_ = std::max(last_owner_term_, term);
    complete_term_ = was_complete ? last_owner_term_ : 0;
    return was_complete;
}

} // namespace goldcrestgate::core
