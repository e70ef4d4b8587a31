#include "burdockspur/port/httphostlist.hpp"

#include "burdockspur/impl/ipaddress.hpp"
#include "burdockspur/impl/jsonfield.hpp"

#include <array>
#include <set>

namespace Burdockspur
{
namespace
{
constexpr std::string_view hostsCall = "GET /v1/hosts";
constexpr std::array<std::string_view, 2> roleNames{"worker", "entry"};
constexpr std::array<std::string_view, 2> stateNames{"live", "leaving"};
constexpr SettingRange nameLength{1, 256};
constexpr SettingRange portRange{1, 65535};
// The upper bound keeps sums over 1,000 hosts far below the range of 64 bits.
constexpr SettingRange amountRange{0, 1e12};

constexpr std::array<JsonField<HostRecord>, 6> commonFields{{
    {"name", &memberOf<HostRecord, &HostRecord::m_name>, nameLength},
    {"address", &memberOf<HostRecord, &HostRecord::m_address>, nameLength},
    {"port", &memberOf<HostRecord, &HostRecord::m_port>, portRange},
    {"zone", &memberOf<HostRecord, &HostRecord::m_place, &Place::m_zone>, {0, 256}},
    {"rack", &memberOf<HostRecord, &HostRecord::m_place, &Place::m_rack>, {0, 256}},
    {"region", &memberOf<HostRecord, &HostRecord::m_place, &Place::m_region>, {0, 256}},
}};

constexpr std::array<JsonField<HostRecord>, 5> workerFields{{
    {"cpu_millis", &memberOf<HostRecord, &HostRecord::m_capacity, &Resources::m_cpuMillis>, amountRange},
    {"memory_mb", &memberOf<HostRecord, &HostRecord::m_capacity, &Resources::m_memoryMb>, amountRange},
    {"accelerators", &memberOf<HostRecord, &HostRecord::m_capacity, &Resources::m_accelerators>, amountRange},
    {"slots", &memberOf<HostRecord, &HostRecord::m_slots>, {}},
    {"connections", &memberOf<HostRecord, &HostRecord::m_connections>, {}},
}};

constexpr std::array<JsonField<HostRecord>, 1> entryFields{{
    {"frame_port", &memberOf<HostRecord, &HostRecord::m_framePort>, portRange},
}};

[[nodiscard]] auto readHost(JsonReader &reader) -> HostRecord
{
    HostRecord host;
    host.m_role = static_cast<HostRole>(reader.choice("role", roleNames).value_or(0));
    host.m_state = static_cast<HostState>(reader.choice("state", stateNames).value_or(0));
    readFields<HostRecord>(reader, commonFields, host);
    if (host.m_role == HostRole::Worker) {
        readFields<HostRecord>(reader, workerFields, host);
    } else {
        readFields<HostRecord>(reader, entryFields, host);
    }
    if (!host.m_address.empty() && !isIpAddress(host.m_address)) {
        reader.report("address", "an IP address");
    }
    return host;
}
}

HttpHostList::HttpHostList(HttpClient &client, HttpEndpoint endpoint, Duration timeout)
    : m_port(client, std::move(endpoint), timeout)
{
}

auto HttpHostList::fetch(ListingCallback callback) -> void
{
    HttpRequest request{.m_method = "GET", .m_target = "/v1/hosts", .m_fields = {}, .m_body = {}};
    if (!m_entityTag.empty()) {
        request.m_fields.push_back({"If-None-Match", m_entityTag});
    }
    m_port.call(std::move(request), [this, callback = std::move(callback)](HttpReply &&reply) {
        callback(handleReply(reply));
    });
}

auto HttpHostList::handleReply(const HttpReply &reply) -> Result<HostListing>
{
    constexpr int statusOk = 200;
    constexpr int statusNotModified = 304;
    if (reply && reply->m_status == statusNotModified && !m_entityTag.empty()) {
        return m_last;
    }
    if (!reply || reply->m_status != statusOk) {
        return std::unexpected(errorOfReply(reply, hostsCall));
    }
    auto listing = decodeHostListing(reply->m_body);
    if (listing) {
        m_entityTag = reply->field("ETag");
        m_last = *listing;
    }
    return listing;
}

auto decodeHostListing(std::string_view body) -> Result<HostListing>
{
    std::vector<std::string> errors;
    auto reader = JsonReader::parse(body, errors);
    HostListing listing;
    if (reader) {
        constexpr SettingRange anyGeneration{0};
        listing.m_generation = static_cast<std::uint64_t>(reader->integer("generation", anyGeneration).value_or(0));
        std::set<std::string> names;
        for (auto &entry : reader->objects("hosts")) {
            listing.m_hosts.push_back(readHost(entry));
            if (!names.insert(listing.m_hosts.back().m_name).second) {
                entry.report("name", "a name that no other host has");
            }
        }
    }
    if (!errors.empty()) {
        return std::unexpected(corruptAnswer(hostsCall, joinedErrors(errors, "; ")));
    }
    return listing;
}
}
