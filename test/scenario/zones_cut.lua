-- A zone is partitioned from the other zones and from the platform: it serves online requests with
-- its last configuration, a host restarted inside gets it from a peer, and within 8 s after the
-- partition heals all hosts have the same configuration.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}, hosts_per_zone = 2, engine = {["token-ms"] = 5, ["prefill-ms"] = 10}}
f:boot(default_sheet(f))
local id, key, version = f:add_key("trust-gate")
f:wait_version(version, 5)
local inside, outside = f:in_zone("cedros"), f:in_zone("orange-valley")
local others = f:outside_zone("cedros")
others[#others + 1] = "platform"

f:cut(inside, others)
run_for(1)
local function served(hosts, message)
    for _, h in ipairs(hosts) do
        eventually(8, message .. " by " .. h, function() return f:complete(h, key).status == 200 end)
    end
end
served(inside, "an online request is served inside the partition")
served(outside, "an online request is served outside the partition")

-- A configuration change outside does not reach the partitioned zone, which reports its own
-- version.
local _, new_key, newer = f:add_key("trust-gate", outside[1])
eventually(5, "the change is in force outside", function() return f:version(outside[2]) == newer end)
expect(f:version(inside[1]) < newer, "the partitioned zone keeps its last configuration")

-- A host restarted inside the partition gets its configuration from its peer.
f:kill(inside[1])
f:start_host(inside[1])
eventually(10, "the restarted host has a configuration", function() return f:version(inside[1]) == version end)
served({inside[1]}, "a request to the restarted host is served")

-- A job is refused where copies in two zones cannot be stored.
local refused = f:submit(inside[2], key, batch_lines(2))
expect(refused.status == 503 and json_decode(refused.body).error.run == "not_run", "a job is refused as not_run inside the partition: " .. refused.body)

f:control("platform", {reset_stats = true})
f:heal()
local healed = now()
for _, h in ipairs(f.host_names) do
    eventually(8 - (now() - healed), "version " .. newer .. " on " .. h .. " after healing", function() return f:version(h) >= newer end)
end
for _, h in ipairs(f.host_names) do
    eventually(8, "the new key works on " .. h, function() return f:complete(h, new_key).status == 200 end)
end
local stats = json_decode(http{url = f:platform_url() .. "/control/stats"}.body)
print("peak key-value calls per second after healing: " .. stats.peak_per_second)
expect(stats.peak_per_second <= 300, "at most 300 key-value calls per second after healing")

-- One-way partitions between the zones, in either direction.
for _, direction in ipairs{"in", "out"} do
    f:cut(inside, f:outside_zone("cedros"), direction)
    run_for(1)
    served(f.host_names, "an online request is served with traffic blocked " .. direction)
    f:heal()
    run_for(0.5)
end
f:withdraw_key(id, outside[1])
for _, h in ipairs(f.host_names) do
    eventually(5, "the withdrawn key is refused by " .. h, function() return f:complete(h, key).status == 401 end)
end
