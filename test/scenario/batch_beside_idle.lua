-- Each batch job is submitted to all eight hosts at once under one idempotency key, while one host
-- has had malformed requests and has 300 idle or incomplete ones open. Guards against duplicate
-- jobs for a key and against jobs that do not finish.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros", "tunapuna", "arima"}, hosts_per_zone = 2,
    engine = {["token-ms"] = 2, ["prefill-ms"] = 5}}
f:boot(default_sheet(f, {customers = {{name = "trust-accounts", rate = 2000, burst = 2000}}}))
local _, key, version = f:add_key("trust-accounts")
f:wait_version(version, 8)

-- The host with the idle connections depends on the seed.
local crowded = f.host_names[seed() % #f.host_names + 1]
local url = f:url(crowded)
for i = 1, 10 do
    send_truncated_request{url = url, text = "POST /v1/batches HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"custom_id\""}
    send_truncated_request{url = url, text = "\0\1\2 nonsense " .. i .. "\r\n\r\n"}
    http{url = url .. "/v1/completions", method = "POST", body = "{", headers = {Authorization = "Bearer " .. key}}
end
for i = 1, 150 do
    open_idle_connection{url = url, text = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"}
    open_idle_connection{url = url, text = "POST /v1/batches HTTP/1.1\r\nHost: x\r\nContent-Length: 400\r\n\r\n{"}
end

-- Several jobs, since it varies which of a job's submissions wins and which hosts store copies of
-- the others.
local jobs = 24
local submissions = {}
for j = 1, jobs do
    for _, host in ipairs(f.host_names) do
        submissions[#submissions + 1] = {job = j, host = host, call = start_request{url = f:url(host) .. "/v1/batches",
            method = "POST", type = "application/jsonl", timeout = 60,
            headers = {Authorization = "Bearer " .. key, ["Idempotency-Key"] = "settlement-" .. j},
            body = table.concat(batch_lines(j == 1 and 200 or 5), "\n") .. "\n"}}
    end
end
local ids, refusals = {}, {}
for _, s in ipairs(submissions) do
    eventually(70, s.host .. " responds to a submission", function() return poll_request(s.call).done end)
    local answer = poll_request(s.call)
    -- A host may refuse under this load; all hosts that accept return the same job id.
    if answer.status == 200 then
        local id = json_decode(answer.body).id
        expect(ids[s.job] == nil or ids[s.job] == id, "all accepted submissions under one key return the same job")
        ids[s.job] = id
    else
        refusals[s.job] = (refusals[s.job] or "") .. s.host .. ": " .. answer.status .. " " .. (answer.body or "") .. "\n"
    end
end
local reader = f.host_names[(seed() + 1) % #f.host_names + 1]
for j = 1, jobs do
    expect(ids[j] ~= nil, "at least one host accepts job " .. j .. ": " .. (refusals[j] or ""))
    eventually(60, "job " .. j .. " finishes", function() return f:job(reader, key, ids[j]).status == "finished" end)
    local results, count = f:results(reader, key, ids[j])
    expect(results ~= nil and count == (j == 1 and 200 or 5), "each item of job " .. j .. " has one result")
end
