-- A batch job end to end: submitted to one host, run, and its results read from every host.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, engine = {["token-ms"] = 2, ["prefill-ms"] = 5}}
f:boot(default_sheet(f))
local _, key, version = f:add_key("trust-accounts")
local _, other_key, other_version = f:add_key("atlas-planning")
f:wait_version(other_version, 5)

local answer = f:submit(f.host_names[1], key, batch_lines(40), {idempotency_key = "settlement-1"})
expect(answer.status == 200, "the job is accepted: " .. answer.status .. " " .. answer.body)
local job = json_decode(answer.body).id
eventually(20, "the job finishes", function() return f:job(f.host_names[2], key, job).status == "finished" end)
for _, host in ipairs(f.host_names) do
    local results, count = f:results(host, key, job)
    expect(results ~= nil and count == 40, "each of 40 items has one result on " .. host)
    for i = 1, 40 do expect(results["item-" .. i].response.status_code == 200, "item-" .. i .. " has a response with status 200") end
end

-- A repeated submission returns the same job from any host; another body under the same key
-- conflicts.
local again = f:submit(f.host_names[2], key, batch_lines(40), {idempotency_key = "settlement-1"})
expect(again.status == 200 and json_decode(again.body).id == job, "a repeated submission returns the same job")
local other = f:submit(f.host_names[2], key, batch_lines(41), {idempotency_key = "settlement-1"})
expect(other.status == 409, "another body under the same key is a conflict: " .. other.body)

-- Jobs are not visible to other customers.
local _, foreign = f:job(f.host_names[1], other_key, job)
expect(foreign.status == 404, "a job is not found with another customer's key")

-- Invalid submissions are rejected.
local twice = f:submit(f.host_names[1], key, {batch_lines(1)[1], batch_lines(1)[1]})
expect(twice.status == 400, "a duplicate custom_id is rejected")
local broken = f:submit(f.host_names[1], key, {"{\"custom_id\":", "[]", "{}"})
expect(broken.status == 400 and broken.body:find("line 1") and broken.body:find("line 3"),
    "every invalid line is reported: " .. broken.body)
