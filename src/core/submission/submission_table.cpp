#include "goldcrestgate/core/submission/submission_table.hpp"

namespace goldcrestgate::core
{

job* submission_table::find(submission_id const& id)
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

job const* submission_table::find(submission_id const& id) const
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

job& submission_table::add(submission_id const& id)
{
    auto& entry = jobs_[id];
    entry = std::make_unique<job>();
    entry->id = id;
    return *entry;
}

void submission_table::erase(submission_id const& id)
{
    jobs_.erase(id);
}

std::size_t submission_table::size() const
{
    return jobs_.size();
}

} // namespace goldcrestgate::core
