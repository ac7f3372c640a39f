-- Measures the overhead of the control plane per daemon as the fleet grows: CPU, memory, bytes and
-- messages per second, and key-value calls per second of the whole fleet. Run by tools/measure;
-- prints a table.
script_dir = script_dir .. "/../scenario"
dofile(script_dir .. "/lib.lua")

-- Clock ticks per second, the unit of utime and stime.
local TICKS_PER_SECOND = 100
-- Returns the CPU time in seconds and the resident memory in MiB of a process.
local function stat(name)
    local text = read_file("/proc/" .. pid(name) .. "/stat")
    local fields = {}
    for word in text:gsub("^.*%) ", ""):gmatch("%S+") do fields[#fields + 1] = word end
    -- utime and stime are fields 14 and 15 of the line, 12 and 13 after the process name.
    return (tonumber(fields[12]) + tonumber(fields[13])) / TICKS_PER_SECOND, tonumber(fields[22]) * 4096 / 1048576
end

-- Measures one fleet for 10 s and prints a table row. `jobs`: number of batch jobs to run
-- meanwhile, or nil.
local function measure(label, hosts, engines, customers, gossip_ms, jobs)
    local zones, per_zone = {}, math.max(1, hosts // 4)
    for i = 1, math.min(4, hosts) do zones[i] = "zone-" .. i end
    local f = Fleet.new{zones = zones, hosts_per_zone = per_zone, engines_per_zone = engines // #zones, data_dirs = jobs ~= nil,
        engine = {["lag-ms"] = 50, ["token-ms"] = 50}, daemon = {["gossip-interval-ms"] = gossip_ms}}
    local list = {}
    for i = 1, customers do list[i] = {name = "customer-" .. i, rate = 10, burst = 200} end
    f:boot(default_sheet(f, {customers = list}))
    if jobs then
        local _, key, version = f:add_key("customer-1")
        f:wait_version(version, 5)
        for i = 1, jobs do
            local answer = f:submit(f.host_names[i % #f.host_names + 1], key, batch_lines(400, {max_tokens = 40}), {idempotency_key = "job-" .. i})
            expect(answer.status == 200, "a job is accepted: " .. answer.body)
        end
    end
    run_for(3)
    f:control("platform", {reset_stats = true})
    local before = {}
    for _, h in ipairs(f.host_names) do
        local cpu = stat(h)
        before[h] = {cpu = cpu, out = f:metric(h, "peer_bytes_sent_total"), into = f:metric(h, "peer_bytes_received_total"),
            messages = f:metric(h, "peer_messages_sent_total")}
    end
    local began = now()
    run_for(10)
    local seconds = now() - began
    local sum = {cpu = 0, rss = 0, bytes = 0, messages = 0, worst_cpu = 0}
    for _, h in ipairs(f.host_names) do
        local cpu, rss = stat(h)
        local share = (cpu - before[h].cpu) / seconds * 100
        sum.cpu, sum.rss = sum.cpu + share, sum.rss + rss
        sum.worst_cpu = math.max(sum.worst_cpu, share)
        sum.bytes = sum.bytes + (f:metric(h, "peer_bytes_sent_total") - before[h].out + f:metric(h, "peer_bytes_received_total") - before[h].into) / seconds
        sum.messages = sum.messages + (f:metric(h, "peer_messages_sent_total") - before[h].messages) / seconds
    end
    local calls = 0
    for path, n in pairs(json_decode(http{url = f:platform_url() .. "/control/stats"}.body).calls) do calls = calls + n end
    local n = #f.host_names
    print(string.format("| %s | %d | %d | %d | %d | %.2f%% | %.2f%% | %.1f MB | %.2f KB/s | %.1f/s | %.1f/s |", label, n, engines, customers, gossip_ms,
        sum.cpu / n, sum.worst_cpu, sum.rss / n, sum.bytes / n / 1024, sum.messages / n, calls / seconds))
    for _, h in ipairs(f.host_names) do signal(h, "KILL") end
    for _, t in ipairs(f.target_names) do signal(t, "KILL") end
    signal("platform", "KILL")
end

print("| varied | daemons | engines | customers | gossip ms | CPU, mean | CPU, worst | memory | bytes in and out | messages out | key-value calls, all |")
print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
for _, hosts in ipairs{64, 32, 16, 8, 4, 2} do measure("daemons", hosts, 8, 8, 500) end
for _, engines in ipairs{4, 16, 40} do measure("engines", 8, engines, 8, 500) end
for _, customers in ipairs{8, 55, 220} do measure("customers", 8, 8, customers, 500) end
for _, gossip in ipairs{250, 1000} do measure("gossip interval", 8, 8, 8, gossip) end
-- Items run for 2 s; 8 engines with 8 slots run 51 of them at a time, besides the reserve.
for _, jobs in ipairs{1, 8, 32} do measure(jobs .. " jobs", 8, 8, 8, 500, jobs) end
