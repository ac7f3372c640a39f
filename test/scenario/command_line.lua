-- Operators manage the fleet with eelgrassctl alone: sheet, keys, batch, status and timeline.
dofile(script_dir .. "/lib.lua")

local f = Fleet.new{zones = {"orange-valley", "cedros"}}
f:boot(default_sheet(f))
local runs = 0
-- Runs eelgrassctl; returns its exit status and its output.
local function ctl(words, global_options)
    runs = runs + 1
    local name = "ctl-" .. runs
    local arguments = {"--server", f:url(f.host_names[runs % 2 + 1]), "--operator-key", OPERATOR_KEY, "--operator", "ana"}
    for _, w in ipairs(global_options or {}) do arguments[#arguments + 1] = w end
    for _, w in ipairs(words) do arguments[#arguments + 1] = w end
    start(name, "eelgrassctl", arguments)
    local status = eventually(30, "eelgrassctl ends", function() return ended(name) end)
    return status, read_file(run_dir() .. "/" .. name .. ".log") or ""
end

local good = write_file("good.csv", default_sheet(f, {customers = {{name = "trust-gate", rate = 77, burst = 100}}}))
local bad = write_file("bad.csv", SHEET_HEADER .. "customer,c,-1,1,1,,,,,,\nplanet,p,,,,,,,,,\n")
local status, text = ctl{"--help"}
expect(status == 0 and text:find("sheet apply FILE"), "help is printed")
status, text = ctl{"sheet", "check", bad}
expect(status == 1 and text:find("row 2") and text:find("row 3"), "the errors of both rows are reported: " .. text)
status, text = ctl{"sheet", "diff", good}
expect(status == 0 and text:find("~ customer trust%-gate") and text:find("%- customer atlas%-sites"), "the differences are printed: " .. text)
local before = f:version(f.host_names[1])
status, text = ctl{"sheet", "apply", good}
expect(status == 0 and text:find("in force as version"), "the sheet is applied: " .. text)
f:wait_version(before + 1, 8)
status, text = ctl({"sheet", "apply", good}, {"--from-version", tostring(before)})
expect(status == 1 and text:find("is in force, not version"), "an outdated base version is refused: " .. text)
status, text = ctl({"sheet", "show"}, {"--operator-key", "a wrong operator key"})
expect(status ~= 0, "a wrong operator key is refused")

status, text = ctl{"keys", "add", "trust-gate"}
local made = json_decode(text)
expect(status == 0 and made.key, "an API key is created: " .. text)
f:wait_version(made.version, 5)
local lines = write_file("job.jsonl", table.concat(batch_lines(5), "\n") .. "\n")
status, text = ctl({"batch", "submit", lines}, {"--key", made.key, "--idempotency-key", "job-1"})
expect(status == 0, "a job is submitted: " .. text)
local job = json_decode(text).id
eventually(30, "the job finishes", function() return f:job(f.host_names[1], made.key, job).status == "finished" end)
status, text = ctl({"batch", "results", job}, {"--key", made.key})
local _, count = text:gsub("custom_id", "")
expect(status == 0 and count == 5, "the results are printed")
status, text = ctl{"status"}
expect(status == 0 and text:find("HOST") and text:find("TARGET") and text:find("CUSTOMER"), "the status table is printed: " .. text)
status, text = ctl({"config", "status"}, {"--json"})
expect(status == 0 and json_decode(text).hosts[1].version, "the status is printed as JSON")
status, text = ctl{"keys", "withdraw", made.id}
expect(status == 0, "the key is withdrawn")
local files = {"timeline", "merge"}
for _, h in ipairs(f.host_names) do files[#files + 1] = run_dir() .. "/" .. h .. ".timeline" end
status, text = ctl(files, {"--subject", job})
expect(status == 0 and text:find("job_accepted") and text:find("job_finished") and
    text:find("job_accepted") < text:find("job_finished"), "the merged timeline of the job is in causal order: " .. text)
status, text = ctl{"sheet", "nonsense"}
expect(status == 2, "a usage error has exit status 2")

-- When the response to a change is lost, the outcome is determined from the version in force.
f:control("platform", {truncate_responses = 2})
local third = write_file("third.csv", default_sheet(f, {customers = {{name = "trust-gate", rate = 78, burst = 100}}}))
status, text = ctl{"sheet", "apply", third}
expect(status == 0 and text:find("in force"), "the sheet is reported as in force although responses were lost: " .. text)
