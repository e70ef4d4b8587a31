// Starts entry hosts with the command of the deploy file, and submits jobs to them as clients do.
#pragma once

#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review
{
class Hosts
{
public:
    Hosts(const std::filesystem::path &work, std::uint16_t storePort, Record &record)
        : m_work(work)
        , m_storePort(storePort)
        , m_record(record)
    {
    }

    ~Hosts()
    {
        end();
    }

    Hosts(const Hosts &) = delete;
    auto operator=(const Hosts &) -> Hosts & = delete;

    auto start(std::size_t count) -> void
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto name = "edge-a-" + std::to_string(i + 1);
            const auto settings = m_work / (name + ".toml");
            auto &host = m_hosts.emplace_back(Host{name, freePort(), freePort(), 0});
            std::ofstream(settings) << "[host]\nname = \"" << name
                                    << "\"\nzone = \"zone-a\"\ncpu_share = 0.25\ncores = 1\nlink_mbps = 1000.0\n[callers]\nendpoint = \"127.0.0.1:"
                                    << host.m_front << "\"\n[ready]\nendpoint = \"127.0.0.1:" << host.m_ready
                                    << "\"\n[metrics]\nendpoint = \"127.0.0.1:" << freePort() << "\"\n[store]\nendpoint = \"127.0.0.1:" << m_storePort
                                    << "\"\nrow_bytes = " << Store::rowBytes
                                    << "\n[config]\napply_ms = 2000\n[stop]\ngrace_s = 6\n[jobs]\nretention_s = 120\nvisible_ms = 3000\n";
            launch(host);
        }
    }

    /// Kills all hosts at the same moment.
    auto killAll() -> void
    {
        for (const auto &host : m_hosts) {
            ::kill(host.m_process, SIGKILL);
        }
        for (auto &host : m_hosts) {
            ::waitpid(host.m_process, nullptr, 0);
            m_record.add("host " + host.m_name + " killed");
        }
    }

    /// Starts all hosts again, with their settings of before.
    auto restartAll() -> void
    {
        for (auto &host : m_hosts) {
            launch(host);
        }
    }

    /// Waits until all hosts are ready; false if they are not in time.
    [[nodiscard]] auto awaitReady() -> bool
    {
        const auto until = Clock::now() + Milliseconds(15'000);
        while (Clock::now() < until) {
            if (std::ranges::all_of(m_hosts, [](const Host &host) {
                    return call(host.m_ready, "GET", "/ready", "x", "").m_status == 200;
                })) {
                m_record.add("all hosts are ready");
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(100));
        }
        return false;
    }

    auto request(std::size_t host, const std::string &method, const std::string &path, const std::string &body = {}) -> Response
    {
        const auto response = call(m_hosts[host % m_hosts.size()].m_front, method, path, "jobs.example", body);
        m_record.add(method + " " + path + " at " + m_hosts[host % m_hosts.size()].m_name + " -> " + std::to_string(response.m_status) + " "
                     + response.m_body.substr(0, 120));
        return response;
    }

    /// Sends a signal to a host.
    auto signal(std::size_t host, int number) -> void
    {
        ::kill(m_hosts[host].m_process, number);
        m_record.add("signal " + std::to_string(number) + " to " + m_hosts[host].m_name);
    }

    /// Number of hosts whose process has ended by itself.
    [[nodiscard]] auto endedCount() -> std::size_t
    {
        std::size_t ended = 0;
        for (auto &host : m_hosts) {
            int status = 0;
            if (host.m_process > 0 && ::waitpid(host.m_process, &status, WNOHANG) == host.m_process) {
                host.m_process = 0;
                m_record.add("host " + host.m_name + " has ended by itself, status " + std::to_string(status));
            }
            ended += host.m_process == 0 ? 1 : 0;
        }
        return ended;
    }

    auto end() -> void
    {
        for (auto &host : m_hosts) {
            if (host.m_process > 0) {
                ::kill(host.m_process, SIGKILL);
                ::waitpid(host.m_process, nullptr, 0);
                host.m_process = 0;
            }
        }
    }

private:
    struct Host {
        std::string m_name;
        std::uint16_t m_front = 0;
        std::uint16_t m_ready = 0;
        pid_t m_process = 0;
    };

    auto launch(Host &host) -> void
    {
        const auto settings = m_work / (host.m_name + ".toml");
        host.m_process = ::fork();
        if (host.m_process == 0) {
            const int log = ::open((m_work / (host.m_name + ".log")).c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            // The host ends with the case, however the case ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("BURDOCKSPUR_BOOT", settings.c_str(), 1);
            ::execl("target/daemons/burdockspur-host", "target/daemons/burdockspur-host", nullptr);
            std::_Exit(127);
        }
        m_record.add("host " + host.m_name + " started");
    }

    std::filesystem::path m_work;
    std::uint16_t m_storePort;
    Record &m_record;
    std::vector<Host> m_hosts;
};
}
