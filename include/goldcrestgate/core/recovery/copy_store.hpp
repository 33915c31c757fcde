#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/detail/injected_defects.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/recovery/fate.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief No copy of the submission is held here.
struct no_copy
{
};

/// @brief The members of the set are being asked; @ref copies_settled follows.
struct seal_in_progress
{
};

/// @brief Other instances hold newer copies; ask one of them.
struct ask_members
{
    std::vector<instance_key> members;
    /// What this copy can tell if none of them answers.
    job_fate otherwise;
};

/// The answer of a copy store about a submission.
using fate_lookup =
    std::variant<no_copy, seal_in_progress, ask_members, job_fate>;

/// @brief The fates of this owner's submissions can be looked up now.
struct copies_settled
{
    instance_key owner;
};

/// @brief The copies that this instance holds for other owners.
///
/// @ref find_fate seals the owner's incarnation: from then on the store refuses
/// all its records, so a paused or isolated owner can start nothing more.
class copy_store
{
public:
    // copies

    /// @brief Applies a batch in order and acknowledges it, or refuses it.
    ///
    /// A batch is refused if the owner is sealed, if the copy has expired, or
    /// if the memory bound is reached.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, copy_batch const& message,
                time_point now, std::vector<action>& out);

    // fates

    /// @brief Returns the fate of a submission whose owner is gone.
    ///
    /// The first question about an owner seals it and asks the other members
    /// of the copy set. While that lasts the result is @ref seal_in_progress;
    /// look it up again when @ref take_settled names the owner.
    /// @pre this instance's own membership says that the owner's process (see
    /// @ref process_of) is gone or has ended; @ref copy_chain relies on it
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] fate_lookup find_fate(submission_id const& submission,
                                        time_point now,
                                        std::vector<action>& out);

    /// @brief Answers another member's request to seal.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, seal_request const& message,
                time_point now, std::vector<action>& out);

    /// @brief Notes another member's answer to a seal request of this store.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, seal_reply const& message,
                time_point now);

    /// @brief Notes the proof that this incarnation of a peer has ended; it is
    /// asked for no seal.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_ended(instance_key const& peer, time_point now);

    /// @brief Repeats and ends seal requests and drops expired copies.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void advance(time_point now, std::vector<action>& out);

    /// @brief Returns the owners whose seals have settled since the last call.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<copies_settled> take_settled();

    /// @brief Returns the time at which @ref advance must be called at the
    /// latest, if any.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    // observers

    /// @brief Returns whether a record of the submission is held.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool holds(submission_id const& submission) const;

    /// @brief Returns the process that sends the copies of an owner.
    ///
    /// It differs from the owner in its incarnation if the owner took a new
    /// incarnation for its ids after a seal.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<instance_key>
    process_of(instance_key const& owner) const;

    /// @brief Returns whether this store refuses all records of an owner.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool is_sealed(instance_key const& owner) const
    {
        return sealed_.contains(owner);
    }

    /// @brief Returns the approximate size of all copies in bytes.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t bytes() const
    {
        return bytes_;
    }

private:
    friend class copy_store_builder;
    copy_store() = default;

    /// Identifies a chain of an owner.
    struct chain_key
    {
        instance_key owner;
        std::uint32_t chain = 0;

        friend auto operator<=>(chain_key const&, chain_key const&) = default;
    };

    enum class seal_step : std::uint8_t
    {
        none,
        asking,
        complete,
        incomplete,
        redirected
    };

    struct seal_progress
    {
        seal_step step = seal_step::none;
        std::uint64_t nonce = 0;
        std::set<instance_key> unanswered;
        bool member_missing = false;
        std::vector<instance_key> newer_members;
        time_point started_at{};
        time_point asked_at{};
    };

    struct chain_copy
    {
        instance_key process;
        copy_epoch epoch;
        std::vector<instance_key> members;
        std::uint64_t sequence = 0;
        bool catch_up_pending = true;
        std::unordered_map<submission_id, job_copy> jobs;
        std::size_t bytes = 0;
        time_point updated_at{};
        seal_progress seal;
    };

    using chain_map = std::map<chain_key, chain_copy>;

    void apply(chain_copy& copy, copy_batch const& batch, time_point now);
    void apply(chain_copy& copy, job_accepted_record const& record);
    void apply(chain_copy& copy, task_starting_record const& record);
    void apply(chain_copy& copy, task_result_record const& record);
    void apply(chain_copy& copy, job_final_record const& record);
    void apply(chain_copy& copy, job_forgotten_record const& record);
    void drop_jobs(chain_copy& copy);
    void refuse(copy_batch const& batch, instance_key const& from,
                std::vector<action>& out) const;
    void begin_seal(chain_key const& key, chain_copy& copy, time_point now,
                    std::vector<action>& out);
    void ask_for_seals(chain_key const& key, chain_copy& copy, time_point now,
                       std::vector<action>& out) const;
    void settle_when_answered(chain_key const& key, chain_copy& copy);
    void settle(chain_key const& key, chain_copy& copy, seal_step step);
    void note_missing(chain_key const& key, chain_copy& copy,
                      instance_key const& member);
    void drop_chain(chain_map::iterator position);
    [[nodiscard]] bool can_answer(chain_copy const& copy) const;
    [[nodiscard]] chain_map::iterator newest_with(submission_id const& id);
    [[nodiscard]] job_fate fate_from(submission_id const& submission,
                                     chain_copy const& copy,
                                     bool complete) const;
    [[nodiscard]] fate_lookup look_up(submission_id const& submission,
                                      chain_copy const& copy) const;

    // configuration
    instance_key self_;
    duration seal_wait_{};
    detail::injected_defects broken_;
    duration expiry_{};
    std::size_t max_bytes_ = 0;

    chain_map chains_;
    // Kept for the life of the process: about 1,000 restarts a day in all
    // failure domains bound its growth.
    std::set<instance_key> sealed_;
    std::set<instance_key> ended_;
    std::vector<copies_settled> settled_;
    std::size_t bytes_ = 0;
    std::uint64_t last_nonce_ = 0;
};

/// @brief Builds a @ref copy_store.
class copy_store_builder
{
public:
    /// @brief Sets the instance that holds the copies.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& self(instance_key const& key);

    /// @brief Sets how long members are asked to seal; 1 s by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& seal_wait(duration wait);

    /// @brief Sets how long a copy without a batch is kept; 15 min by default.
    ///
    /// Longer than `id_lifetime` and `answer_retention` together, so that a
    /// copy outlives every id of an owner that has ended.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& expiry(duration time);

    /// @brief Sets the memory bound in bytes; 1 GiB by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& max_bytes(std::size_t bytes);

    /// @brief Switches rules off; for tests only.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& inject_defects(detail::injected_defects const& rules);

    /// @brief Returns the store.
    /// @pre @ref self was called
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_store build() const;

private:
    instance_key self_;
    duration seal_wait_ = std::chrono::seconds{1};
    detail::injected_defects broken_;
    duration expiry_ = std::chrono::minutes{15};
    std::size_t max_bytes_ = std::size_t{1} << 30;
};

} // namespace goldcrestgate::core
