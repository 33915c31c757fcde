#include "goldcrestgate/core/recovery/copy_store.hpp"

#include "goldcrestgate/core/recovery/detail/copy_stream.hpp"

#include <utility>

namespace goldcrestgate::core
{

namespace
{

// Approximate sizes of a task and of a job in a copy, for the memory limit.
constexpr std::size_t task_copy_bytes = sizeof(task_copy);
constexpr std::size_t job_copy_bytes = sizeof(job_copy) + 96;

std::size_t bytes_of(job_copy const& job)
{
    std::size_t bytes = job_copy_bytes + job.message.size();
    for (auto const& task : job.tasks)
    {
        bytes += task_copy_bytes + task.body.size();
    }
    return bytes;
}

} // namespace

void copy_store::handle(instance_key const& from, copy_batch const& message,
                        time_point now, std::vector<action>& out)
{
    if (message.owner.instance != from.instance)
    {
        return;
    }
    auto found = chains_.find({message.owner, message.chain});
    bool const is_known = found != chains_.end();
    bool const is_repeated =
        is_known && message.sequence <= found->second.sequence;
    bool const follows =
        message.starts_catch_up ||
        (is_known && message.sequence == found->second.sequence + 1);
    if (is_sealed(message.owner) ||
        (!is_repeated && (!follows || bytes_ >= max_bytes_)))
    {
        refuse(message, from, out);
        return;
    }
    if (!is_repeated)
    {
        if (!is_known)
        {
            found = chains_
                        .emplace(chain_key{message.owner, message.chain},
                                 chain_copy{})
                        .first;
            found->second.process = from;
        }
        apply(found->second, message, now);
    }
    out.emplace_back(
        send_to_peer{from.instance, copy_ack{message.owner, message.chain,
                                             message.epoch, message.sequence}});
}

void copy_store::refuse(copy_batch const& batch, instance_key const& from,
                        std::vector<action>& out) const
{
    out.emplace_back(send_to_peer{
        from.instance, copy_refused{batch.owner, batch.chain, batch.epoch,
                                    is_sealed(batch.owner)}});
}

void copy_store::apply(chain_copy& copy, copy_batch const& batch,
                       time_point now)
{
    if (batch.starts_catch_up)
    {
        drop_jobs(copy);
    }
    // The newest set is kept when a catch-up starts again, as another member
    // may ask for it.
    if (batch.epoch >= copy.epoch)
    {
        copy.epoch = batch.epoch;
        copy.members = batch.members;
    }
    copy.sequence = batch.sequence;
    copy.catch_up_pending = batch.catch_up_pending;
    copy.updated_at = now;
    for (auto const& record : batch.records)
    {
        std::visit(
            [this, &copy](auto const& entry)
            {
                apply(copy, entry);
            },
            record);
    }
}

void copy_store::apply(chain_copy& copy, job_accepted_record const& record)
{
    auto const [position, is_new] = copy.jobs.try_emplace(record.submission);
    if (!is_new)
    {
        return;
    }
    position->second.body_hash = record.body_hash;
    position->second.tasks.resize(record.task_count);
    auto const added = bytes_of(position->second);
    copy.bytes += added;
    bytes_ += added;
}

void copy_store::apply(chain_copy& copy, task_starting_record const& record)
{
    auto const found = copy.jobs.find(record.task.submission);
    if (found != copy.jobs.end() &&
        record.task.task.value() < found->second.tasks.size())
    {
        found->second.tasks[record.task.task.value()].started = true;
    }
}

void copy_store::apply(chain_copy& copy, task_result_record const& record)
{
    auto const found = copy.jobs.find(record.task.submission);
    if (found == copy.jobs.end() ||
        record.task.task.value() >= found->second.tasks.size())
    {
        return;
    }
    auto& task = found->second.tasks[record.task.task.value()];
    copy.bytes += record.body.size() - task.body.size();
    bytes_ += record.body.size() - task.body.size();
    task.fate = record.fate;
    task.body = record.body;
}

void copy_store::apply(chain_copy& copy, job_final_record const& record)
{
    auto const found = copy.jobs.find(record.submission);
    if (found == copy.jobs.end())
    {
        return;
    }
    auto& job = found->second;
    copy.bytes += record.message.size() - job.message.size();
    bytes_ += record.message.size() - job.message.size();
    job.state = record.state;
    job.error = record.error;
    job.message = record.message;
}

void copy_store::apply(chain_copy& copy, job_forgotten_record const& record)
{
    auto const found = copy.jobs.find(record.submission);
    if (found == copy.jobs.end())
    {
        return;
    }
    auto const removed = bytes_of(found->second);
    copy.bytes -= removed;
    bytes_ -= removed;
    copy.jobs.erase(found);
}

void copy_store::drop_jobs(chain_copy& copy)
{
    bytes_ -= copy.bytes;
    copy.bytes = 0;
    copy.jobs.clear();
}

void copy_store::drop_chain(chain_map::iterator position)
{
    drop_jobs(position->second);
    chains_.erase(position);
}

bool copy_store::holds(submission_id const& submission) const
{
    for (auto position = chains_.lower_bound({submission.owner, 0});
         position != chains_.end() && position->first.owner == submission.owner;
         ++position)
    {
        if (position->second.jobs.contains(submission))
        {
            return true;
        }
    }
    return false;
}

std::optional<instance_key>
copy_store::process_of(instance_key const& owner) const
{
    auto const found = chains_.lower_bound({owner, 0});
    return found != chains_.end() && found->first.owner == owner
               ? std::optional{found->second.process}
               : std::nullopt;
}

copy_store_builder& copy_store_builder::self(instance_key const& key)
{
    self_ = key;
    return *this;
}

copy_store_builder& copy_store_builder::seal_wait(duration wait)
{
    seal_wait_ = wait;
    return *this;
}

copy_store_builder& copy_store_builder::expiry(duration time)
{
    expiry_ = time;
    return *this;
}

copy_store_builder& copy_store_builder::max_bytes(std::size_t bytes)
{
    max_bytes_ = bytes;
    return *this;
}

copy_store_builder&
copy_store_builder::inject_defects(detail::injected_defects const& defects)
{
    defects_ = defects;
    return *this;
}

copy_store copy_store_builder::build() const
{
    copy_store store;
    store.self_ = self_;
    // Replies to an earlier process of this instance must not match a request
    // of this one.
    store.last_nonce_ = detail::mix_hash(0, self_.incarnation.value());
    store.defects_ = defects_;
    store.seal_wait_ = seal_wait_;
    store.expiry_ = expiry_;
    store.max_bytes_ = max_bytes_;
    return store;
}

} // namespace goldcrestgate::core
