#include "admission/unconfirmed_submissions.h"

#include <algorithm>

namespace chervilslip::admission {

unconfirmed_submissions::unconfirmed_submissions(common::steady_time started_at)
    : gap_ends_at(started_at + repeat_window)
{
}

void unconfirmed_submissions::add(const std::string& id, common::steady_time now)
{
    this->end_by_id[id] = now + repeat_window;
    this->in_order.push_back({id, now + repeat_window});
    while (this->in_order.front().ends_at <= now || this->in_order.size() > max_jobs) {
        const entry& oldest = this->in_order.front();
        this->gap_ends_at = std::max(this->gap_ends_at, oldest.ends_at);
        const auto found = this->end_by_id.find(oldest.id);
        if (found != this->end_by_id.end() && found->second == oldest.ends_at) {
            this->end_by_id.erase(found);
        }
        this->in_order.pop_front();
    }
}

std::vector<std::string> unconfirmed_submissions::remembered(common::steady_time now) const
{
    std::vector<std::string> ids;
    for (const auto& [id, ends_at] : this->end_by_id) {
        if (ends_at > now) {
            ids.push_back(id);
        }
    }
    return ids;
}

void unconfirmed_submissions::handle_peer_lost(const std::string& peer, common::steady_time now)
{
    this->lost_peers.insert(peer);
    this->gap_ends_at = std::max(this->gap_ends_at, now + repeat_window);
}

void unconfirmed_submissions::handle_peer_connected(const std::string& peer,
                                                    common::steady_time now)
{
    if (this->lost_peers.erase(peer) > 0) {
        this->gap_ends_at = std::max(this->gap_ends_at, now + repeat_window);
    }
}

bool unconfirmed_submissions::excludes(const std::string& id, common::steady_time now) const
{
    const auto found = this->end_by_id.find(id);
    return now >= this->gap_ends_at && (found == this->end_by_id.end() || found->second <= now);
}

} // namespace chervilslip::admission
