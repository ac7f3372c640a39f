-- Daemons of two builds work together: one answers requests, applies sheets and adopts jobs of the
-- other, in both directions, and each starts on what the other has stored. Guards against a change
-- of a message, a record or a file that an earlier release cannot read.
-- OLDER_BUILD names the folder of the older programs, relative to this build's; without
-- it both sides run this build.
dofile(script_dir .. "/lib.lua")

local older = os.getenv("OLDER_BUILD")
local older_program = (older and older .. "/" or "") .. "eelgrassdoord"
print("older program: " .. older_program)

local items = 80
local f = Fleet.new{zones = {"orange-valley", "cedros"}, hosts_per_zone = 2, services = {"read-grades"},
    engine = {["token-ms"] = 20, ["prefill-ms"] = 10, slots = 4}}
local older_hosts, newer_hosts = {}, {}
for i, name in ipairs(f.host_names) do
    -- One daemon of each build in each zone.
    if i % 2 == 1 then
        f.hosts[name].program = older_program
        older_hosts[#older_hosts + 1] = name
    else
        newer_hosts[#newer_hosts + 1] = name
    end
end
f:boot(default_sheet(f, {reserve = 0}))

-- Keys and sheets that either build commits come into force at all daemons.
local _, key, version = f:add_key("trust-accounts", older_hosts[1])
f:wait_version(version, 8)
local _, second_key, second_version = f:add_key("trust-gate", newer_hosts[1])
f:wait_version(second_version, 8)
for _, host in ipairs{newer_hosts[2], older_hosts[2]} do
    local customers = {{name = "trust-accounts", rate = 400, burst = 200}, {name = "trust-gate", rate = 20, burst = 10}}
    f:wait_version(f:apply(default_sheet(f, {reserve = 0, customers = customers}), host), 8)
end

-- Every daemon knows every other as live, and the parts of the rates are held by both builds.
local function statuses(host)
    local live = 0
    for _, h in ipairs(json_decode(f:admin("GET", "/status", "", host).body).hosts) do
        if h.status == "live" then live = live + 1 end
    end
    return live
end
for _, host in ipairs(f.host_names) do
    eventually(15, host .. " lists all daemons as live", function() return statuses(host) == #f.host_names end)
end
f:wait_limit_holders()

-- Online requests and plain services through every daemon.
local function check_online()
    for _, host in ipairs(f.host_names) do
        local whole = f:complete(host, key)
        expect(whole.status == 200 and json_decode(whole.body).choices[1].text == "t0 t1 t2 t3 ",
            "a whole completion through " .. host .. ": " .. whole.status .. " " .. whole.body)
        expect(f:call(host, key, "read-grades").status == 200, "a service call through " .. host)
    end
end
check_online()

-- The daemons of both builds together keep a customer's rate and use most of it.
local urls = {}
for _, h in ipairs(f.host_names) do urls[#urls + 1] = f:url(h) end
local began = now()
start("limit-load", "eelgrass_load", {"--hosts", table.concat(urls, ","), "--service", "read-grades", "--seed", 5,
    "--duration-s", 8, "--customer", "trust-gate:" .. second_key .. ":100:20:10"})
eventually(60, "the load ends", function() return ended("limit-load") == 0 end)
local times = {}
for _, h in ipairs(f.host_names) do
    for _, e in ipairs(timeline_events(h, "limit_granted")) do
        if e.customer == "trust-gate" then times[#times + 1] = e.monotonic_ns / 1e9 end
    end
end
table.sort(times)
for i, t in ipairs(times) do
    expect(i <= 20 * (t - began) + 10 + 1e-6, i .. " admitted after " .. (t - began) .. " s at a rate of 20 and a burst of 10")
end
expect(#times >= 0.9 * 20 * 8, "the customer gets its rate over both builds: " .. #times .. " admitted")

-- A job whose owner is killed is finished by the daemons that are left.
local function submit(host, name)
    local answer = f:submit(host, key, batch_lines(items), {idempotency_key = name})
    expect(answer.status == 200, name .. " is accepted: " .. answer.status .. " " .. answer.body)
    return json_decode(answer.body).id
end
local function check_results(job)
    for _, host in ipairs(f.host_names) do
        if f.hosts[host].running then
            local results, count = f:results(host, key, job)
            expect(results and count == items, items .. " results through " .. host .. ", got " .. tostring(count))
            for i = 1, items do
                expect(results["item-" .. i].response.status_code == 200, "item-" .. i .. " has an answer")
            end
        end
    end
end
-- Whether a daemon of `side` keeps a copy of the job.
local function has_copy(side, job)
    for _, host in ipairs(f.host_names) do
        for _, e in ipairs(timeline_events(host, "job_accepted")) do
            if e.subject == job and (e.copies:find(side[1], 1, true) or e.copies:find(side[2], 1, true)) then return true end
        end
    end
    return false
end
-- A job that `side` owns and the other build has a copy of, so that the other build can adopt it.
local function submit_with_copies(side, other_side, name)
    for attempt = 1, 8 do
        local job = submit(side[1], name .. "-" .. attempt)
        if has_copy(other_side, job) then return job end
        expect(f:cancel_job(side[1], key, job).status == 200, "the job is cancelled")
    end
    error("no job of eight has a copy at the other build")
end
local function kill_owner(side, other_side, name)
    -- Only the other build may adopt the job: the daemons of the owner's build are killed.
    local job = submit_with_copies(side, other_side, name)
    eventually(20, "the job makes progress", function()
        local s = f:job(other_side[1], key, job)
        return s.request_counts and s.request_counts.completed > 5 and s.status == "running"
    end)
    local owner = f:job(other_side[1], key, job).owner
    expect(owner == side[1] or owner == side[2], "a daemon of the submitting build owns " .. name .. ": " .. tostring(owner))
    for _, host in ipairs(side) do
        f:kill(host)
        f.hosts[host].unlisted = true
    end
    f:publish_hosts()
    eventually(60, "the other build finishes " .. name, function()
        return f:job(other_side[1], key, job).status == "finished"
    end)
    check_results(job)
    for _, host in ipairs(side) do
        f.hosts[host].unlisted = false
    end
    f:publish_hosts()
    for _, host in ipairs(side) do
        f:start_host(host)
        eventually(10, host .. " is back", function() return f:ready(host) end)
    end
    check_results(job)
    return job
end
local jobs = {kill_owner(older_hosts, newer_hosts, "owned-by-the-older"), kill_owner(newer_hosts, older_hosts, "owned-by-the-newer")}

-- Each daemon ends and comes back as the other build, on the data folder that it left.
local function swap(hosts, program)
    for _, host in ipairs(hosts) do
        f:stop(host)
        eventually(20, host .. " ends by itself", function() return ended(host) == 0 end)
        f.hosts[host].program = program
        f:start_host(host)
        eventually(10, host .. " is back as the other build", function() return f:ready(host) end)
    end
end
swap(older_hosts, "eelgrassdoord")
swap(newer_hosts, older_program)
for _, host in ipairs(f.host_names) do
    eventually(15, host .. " lists all daemons as live", function() return statuses(host) == #f.host_names end)
end
f:wait_limit_holders()
check_online()
for _, job in ipairs(jobs) do check_results(job) end
