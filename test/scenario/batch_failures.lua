-- A job has exactly one result for each item when its owner is killed with items in flight or
-- frozen and resumed, and its results stay readable after any one host is lost permanently.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros", "la-brea"}, engine = {["token-ms"] = 20, ["prefill-ms"] = 10, slots = 4}}
f:boot(default_sheet(f, {reserve = 0}))
local _, key, version = f:add_key("trust-accounts")
f:wait_version(version, 5)
local items = 120

local function submit(host, name, options)
    local answer = f:submit(host, key, batch_lines(items, options), {idempotency_key = name})
    expect(answer.status == 200, name .. " is accepted: " .. answer.status .. " " .. answer.body)
    return json_decode(answer.body).id
end
local function any_live()
    for _, h in ipairs(f.host_names) do if f.hosts[h].running and not f.hosts[h].frozen then return h end end
end
local function check_results(job, host)
    local results, count = f:results(host, key, job)
    expect(results and count == items, "each of " .. items .. " items has one result, not " .. tostring(count))
    for i = 1, items do expect(results["item-" .. i].response, "item-" .. i .. " has a response") end
end
local function owner_of(job) return (f:job(any_live(), key, job) or {}).owner end
local function wait_progress(job)
    eventually(20, "the job is running and has completed items", function()
        local s = f:job(any_live(), key, job)
        return s.request_counts and s.request_counts.completed > 5 and s.status == "running"
    end)
end

-- 0. The job record is written but reading it back fails, at submission and at the claim: the
-- caller is not told "not_run", and the host that the record names as owner runs the job.
f:control("platform", {fail_read_after_write = 2})
local unclear = f:submit(f.host_names[1], key, batch_lines(10), {idempotency_key = "not-read-back"})
expect(unclear.status == 502 and json_decode(unclear.body).error.run == "unknown",
    "a job that was created is reported as run = unknown: " .. unclear.status .. " " .. unclear.body)
local again = f:submit(f.host_names[2], key, batch_lines(10), {idempotency_key = "not-read-back"})
expect(again.status == 200, "a repeated submission finds the job: " .. again.body)
eventually(20, "the job is run by its owner", function() return f:job(f.host_names[1], key, json_decode(again.body).id).status == "finished" end)

-- 1. The host that acknowledged the job is lost right afterwards.
local first = f.host_names[1]
local job = submit(first, "lost-after-ack")
f:kill(first)
f.hosts[first].unlisted = true
f:publish_hosts()
eventually(60, "another host finishes the job", function() return f:job(f.host_names[2], key, job).status == "finished" end)
check_results(job, f.host_names[3])
f.hosts[first].unlisted = false
f:publish_hosts()
f:start_host(first)
eventually(10, "the restarted host is ready", function() return f:ready(first) end)

-- 2. The owner is killed with items in flight and restarted.
job = submit(f.host_names[2], "killed-owner")
wait_progress(job)
local owner = owner_of(job)
f:kill(owner)
f:start_host(owner)
eventually(60, "the job finishes", function() return f:job(any_live(), key, job).status == "finished" end)
eventually(10, "the restarted host is ready", function() return f:ready(owner) end)
check_results(job, owner)

-- 3. The owner is frozen until another host has taken over, and resumes with stale ownership.
job = submit(f.host_names[3], "frozen-owner")
wait_progress(job)
owner = owner_of(job)
f.hosts[owner].frozen = true
f:freeze(owner)
eventually(30, "another host takes the job over", function()
    local now_owner = owner_of(job)
    return now_owner ~= nil and now_owner ~= "" and now_owner ~= owner
end)
f:thaw(owner)
f.hosts[owner].frozen = false
eventually(60, "the job finishes", function() return f:job(any_live(), key, job).status == "finished" end)
check_results(job, owner)

-- 4. A host that stores a copy is removed: the copy is restored on another host.
local record_copies
local function data_has(host, storage_of)
    return read_file(run_dir() .. "/" .. host .. ".data/" .. storage_of .. "/items") ~= nil
end
job = submit(f.host_names[1], "lost-copy")
eventually(60, "the job finishes", function() return f:job(any_live(), key, job).status == "finished" end)
local holders = {}
for _, h in ipairs(f.host_names) do
    for _, e in ipairs(timeline_events(h, "job_accepted")) do
        if e.subject == job then for name in e.copies:gmatch("[^,]+") do holders[#holders + 1] = name end end
    end
end
expect(#holders == 2, "the job has two copies")
expect(f.hosts[holders[1]].zone ~= f.hosts[holders[2]].zone, "the copies are in different zones")
f:kill(holders[1])
f.hosts[holders[1]].unlisted = true
f:publish_hosts()
eventually(60, "the lost copy is restored", function()
    for _, e in ipairs(timeline_events(holders[2], "copy_repaired")) do if e.subject == job then return true end end
end)
-- The second original holder is lost too, so that only the restored copy is left.
local third
for _, h in ipairs(f.host_names) do if h ~= holders[1] and h ~= holders[2] then third = h end end
f:kill(holders[2])
check_results(job, third)
